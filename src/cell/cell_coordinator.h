#pragma once

#include "cell/ended_page_queue.h"
#include "cell/job_state.h"
#include "cell/straggler.h"
#include "cell/worker_state.h"
#include "figwinch/cell/coordinator.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <set>

namespace figwinch {

/// A worker whose last report is older gets no new runs.
inline constexpr duration max_report_age = std::chrono::milliseconds(2200);

/// A best-effort job none of whose tasks has run for this long is overdue: it is started even where
/// it is expected to slow down latency-critical tasks, at a low speed.
inline constexpr duration max_idle_time = std::chrono::seconds(2);

/// Interval at which overdue jobs are looked for.
inline constexpr duration overdue_period = std::chrono::milliseconds(100);

/// Speed, in percent of full speed, at which a task of an overdue job starts.
inline constexpr int throttled_start_percent = 10;

/// Limit on workers whose lists of ended runs are read in several reports at the same time: the
/// records of so many reports take a quarter of a second of the log's throughput.
inline constexpr std::size_t max_ended_pages = 64;

/// The coordinator's rules, split into source files by topic: jobs, their records, workers and
/// their reports, leases, CPU sharing, runs, stops, crashes and trials, placement
/// and advice.
class cell_coordinator final : public coordinator {
public:
    cell_coordinator(dependencies deps, const cell_settings& settings, lease_epoch epoch,
                     const predecessor& before, const cell_state& known);

    void apply_config(const cell_config& config) override;
    void update_evacuated(absl::flat_hash_set<data_centre_id> data_centres) override;
    void update_workers(const std::vector<worker_listing>& listing) override;
    void apply_intake(const job_entry& job) override;
    void tick() override;
    coordinator_counts counts() const override;
    coordinator_view view() const override;
    outstanding_orders outstanding() const override;
    outstanding_orders outstanding_unreachable() const override;
    void apply_outstanding(const outstanding_orders& orders) override;

private:
    void log_waiting_tasks() const;
    void log_waiting_service_tasks();
    std::int64_t count_long_waiting(const step_state& step, const task_state*& longest) const;
    void record_slowdowns();

    // coordinator_jobs.cpp
    void add_job(const job_entry& entry, bool may_have_earlier_runs);
    void restore_progress(job_state& job, const job_progress& progress);
    occurrence_state& make_occurrence(job_state& job, std::uint32_t number);
    void make_due_occurrences(job_state& job);
    static void forget_ended_occurrences(job_state& job);
    void update_ready(occurrence_state& occurrence);
    void apply_queue_config(job_state& job) const;
    void end_task(task_state& task);
    void end_step(job_state& job, step_state& step);
    void end_job(job_state& job, job_phase phase);
    void drop_ended_jobs();
    bool may_drop(const job_state& job) const;
    void drop_job(job_state& job);
    void update_outlook(job_state& job) const;
    job_state* find_job(const job_id& id);
    task_state* find_task(const task_name& name);
    static task_name name_of(const task_state& task);

    // coordinator_queues.cpp
    void mark_changed(job_state& job);
    void requeue_changed();
    static queue_positions positions_of(const job_state& job);
    void update_due_estimates();
    void log_scarce_starts();

    // coordinator_records.cpp
    void mark_dirty(job_state& job);
    void add_ordered_to(job_state& job, const worker_state& worker);
    void write_dirty();
    void write_progress(job_state& job);
    bool handle_rejected_record(const stored_record& record);
    void give_up_unrecordable(job_state& job);
    static bool has_record_per_task(const step_spec& step);
    static bool is_recorded_at(const task_state& task, const worker_state& worker);
    void record_placement(task_state& task, const worker_state& worker);
    void order_when_recorded();
    void order_recorded(const task_name& name, run_number run);

    // coordinator_workers.cpp
    struct due_renewal {
        instant at{};
        worker_slot worker = 0;
        // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const due_renewal&, const due_renewal&) = default;
    };
    std::vector<worker_state*> lost_workers() const;
    void handle_new_worker(const worker_listing& row, const std::vector<worker_state*>& lost);
    void send_due_renewals();
    void schedule_renewal(worker_state& worker, instant when);
    void renew_lease(worker_state& worker);
    duration lease_to_request(instant now) const;
    void handle_report(const worker_id& id, instant asked, order_outcome outcome,
                       const worker_report& report);
    bool is_other_incarnation(const worker_id& id, std::uint64_t born_ms) const;
    duration max_lease_at_first_report(const worker_state& worker,
                                       const worker_report& report) const;
    void update_longer_lease(worker_state& worker, const worker_report& report, duration longest);
    bool has_unrecorded_runs(const worker_state& worker, const worker_report& report) const;
    void handle_restart(worker_state& worker);
    void handle_new_incarnation(worker_state& worker, const worker_report& report);
    void register_incarnation(worker_state& worker);
    void record_worker(const worker_id& id, const worker_entry& entry,
                       std::function<void()> committed = nullptr);
    void record_idle(const worker_id& id, std::uint64_t incarnation);
    void remove_worker_record(const worker_id& id);
    void doubt_unrecorded(const worker_id& id);
    void handle_unanswered_renewal(worker_state& worker);
    void handle_recovery(worker_state& worker);
    worker_state* find_worker(const worker_id& id);

    // coordinator_reports.cpp
    void apply_ended_runs(worker_state& worker, const std::vector<ended_run>& rows);
    void process_ended_runs(worker_state& worker, const worker_report& report);
    void stop_reading_ends(worker_state& worker);
    void apply_running_runs(worker_state& worker, const worker_report& report, instant asked);
    static void mark_shown(const worker_state& worker, run_number run);
    task_state* task_of(const worker_state& worker, const active_run& row);
    void apply_running_run(worker_state& worker, const active_run& row, task_state* task);
    void release_missing_runs(worker_state& worker, const worker_report& report, instant asked);
    static std::optional<resources> orphan_resources(const worker_state& worker,
                                                     const worker_report& report,
                                                     const std::vector<const task_state*>& shown);

    // coordinator_sharing.cpp
    static void log_sharing(const worker_state& worker);
    best_effort_view best_effort_view_of(const task_state& task, const worker_state& worker) const;
    void give_least_speed(const std::vector<task_state*>& best_effort) const;
    void update_throttles(worker_state& worker);
    void learn_slowdowns(const worker_state& worker, const std::vector<serving_view>& serving);

    // coordinator_leases.cpp
    void expire_leases();
    void handle_lease_expiry(worker_state& worker);
    static void log_lost_run(const task_state& task);
    void remove_unlisted_workers();
    void remove_unlisted_records();
    void mark_resolved(const worker_state& worker);
    void mark_ends_read(const worker_id& id);
    void resolve_expired();
    void update_unresolved_marks();
    void log_resolved() const;
    bool is_confirmed_since(instant& since) const;
    bool log_confirms() const;
    bool has_current_notices() const;
    bool may_start(const task_state& task) const;

    // coordinator_stops.cpp
    void request_stop(task_state& task);
    void stop_orphaned_run(const worker_state& worker, const std::string& task, run_number run);
    void send_stops();
    void handle_stop_answer(const task_name& name, run_number run, const order_answer& answer);
    void send_throttle(task_state& task);
    void handle_throttle_answer(const task_name& name, run_number run, int percent,
                                const order_answer& answer);

    // coordinator_stragglers.cpp
    void update_progress(task_run& run, int percent) const;
    void record_run_time(task_state& task);
    void move_stragglers();
    void move_stragglers_of(step_state& step);
    void move_straggler(task_state& task, bool stuck);

    // coordinator_step_down.cpp
    void add_inherited(outstanding_orders& left) const;
    std::optional<duration> time_left(const worker_state& worker) const;
    void list_not_ordered(const job_state& job, std::vector<std::string>& names) const;
    bool is_known_not_ordered(const task_state& task) const;

    // coordinator_view.cpp
    static void count_tasks(const job_state& job, job_view& row);
    worker_status status_of(const worker_state& worker) const;
    wait_reason wait_reason_of(const job_state& job) const;
    wait_reason wait_reason_of(const job_state& job, const task_state& task) const;

    // coordinator_runs.cpp
    void start(task_state& task, worker_state& worker, run_number run,
               const std::string& checkpoint);
    void order_start(task_state& task);
    bool is_start_wanted(const task_name& name, run_number run, const worker_id& worker,
                         std::uint64_t born_ms);
    void handle_start_answer(const task_name& name, run_number run, const worker_id& worker,
                             std::uint64_t born_ms, const order_answer& answer);
    void handle_refused_start(task_state& task, worker_state& worker, std::string_view why,
                              duration quarantine);
    void apply_ended_run(worker_state& worker, const ended_run& row);
    void apply_success(task_state& task);
    void apply_failure(task_state& task, worker_state& worker, run_number run);
    void count_worker_failure(worker_state& worker, const job_id& job);
    void assign(task_state& task, worker_state& worker);
    void release(task_state& task);
    void mark_begun(job_state& job);
    void update_images(worker_state& worker);
    run_number next_run();
    run_number run_base() const;
    void handle_superseded();

    // coordinator_gangs.cpp
    void handle_dropped_start(task_state& task, worker_state& worker);
    bool may_order_again(const task_state& task, const worker_state& worker) const;
    void stop_gang(step_state& step, run_number run, std::string_view why);
    void record_gang_failure(step_state& step, run_number run, std::string_view why);
    static void clear_gang_failures(step_state& step);

    // coordinator_placement.cpp
    enum class placement_pass { service_restarts, batch_tasks, service_first_starts };
    static constexpr std::size_t placement_passes = 3;
    template <class Order>
    using ordered_jobs = waiting_jobs::queue<Order>;
    void place_all();
    struct round_limits {
        /// Number of starts of this term at which the round ends.
        std::uint64_t max_starts = 0;
        /// Workers that searches of one pass may look at without finding one.
        std::uint64_t max_failed_visits = 0;
    };
    /// Position in `waiting_jobs::by_wait` of the last job that couldn't start.
    struct aging_cursor {
        instant waiting_since = instant::min();
        std::string id;
    };
    round_limits limits_of_round(duration elapsed) const;
    std::uint64_t starts_so_far() const;
    bool place_batch(const round_limits& limits);
    void place_longest_waiting();
    bool place_in_order(const ordered_jobs<service_order>& waiting, placement_pass pass,
                        const round_limits& limits);
    void place_job(job_state& job, placement_pass pass);
    bool place_step(job_state& job, step_state& step, placement_pass pass);
    bool place_gang(job_state& job, step_state& step);
    bool is_usable(const worker_state& worker, const job_state& job) const;
    bool is_within_capacity(const worker_state& worker) const;
    bool admits(const worker_state& worker, const step_state& step) const;
    double score(const worker_state& worker, const step_state& step) const;
    double score_latency_critical(const worker_state& worker, const step_state& step) const;
    void drain_leaving_workers();

    /// A worker that can run a step's tasks, and its placement score; higher is better.
    struct candidate {
        worker_state* worker = nullptr;
        double score = 0;
    };
    using candidates = std::vector<candidate>;

    // coordinator_best_effort.cpp
    /// Why a worker turns down a best-effort step.
    enum class best_effort_check {
        admitted,
        /// Other best-effort tasks have taken the CPU.
        cpu,
        /// Best-effort tasks are paused on behalf of latency-critical ones, or one that is being
        /// stopped can't be throttled.
        paused,
        /// A latency-critical task would be slowed down beyond its target.
        harm,
        /// Another overdue job has a throttled start there.
        throttled_starts,
    };
    static constexpr std::size_t best_effort_checks = 5;
    static std::int64_t best_effort_millis(const task_state& task);
    std::int64_t best_effort_cpu_left(const worker_state& worker) const;
    std::int64_t best_effort_batch_cpu_left(const worker_state& worker) const;
    std::int64_t unthrottled_cpu_left(const worker_state& worker) const;
    best_effort_check check_best_effort(const worker_state& worker, const step_state& step) const;
    best_effort_check check_overdue(const worker_state& worker, const step_state& step) const;
    double score_best_effort(const worker_state& worker, const step_state& step) const;
    void update_busy();
    void start_overdue_jobs();
    bool useful_job_waits() const;
    bool start_overdue(job_state& job);
    bool start_overdue_step(job_state& job, step_state& step, bool throttled);
    bool is_admitted_as_usual(const job_state& job, step_state& step);
    bool start_overdue_task(job_state& job, step_state& step);
    void log_waiting_best_effort();
    const step_state* idle_best_effort_step(const job_state& job) const;

    // coordinator_crashes.cpp
    static task_progress& crash_record_of(task_state& task);
    static const task_progress& crash_record_of(const task_state& task);
    std::vector<const worker_state*> lost_together_with(const worker_state& worker) const;
    bool is_common_loss(const std::vector<const worker_state*>& lost_together,
                        const lost_run& lost) const;
    void mark_lost(worker_state& worker);
    void collect_lost_runs(worker_state& worker);
    void end_other_trials(const worker_state& worker, const task_state& blamed);
    static std::optional<duration> age_at_loss(const task_state& task);
    static crash_suspicion suspicion_of(const task_state& task, duration age);
    void record_crash(worker_state& worker, bool confirmed);
    void weaken_late_losses(worker_state& worker, instant back_at) const;
    void record_crashed_run(task_state& task, const worker_state& worker, const lost_run& lost,
                            bool confirmed);
    void withdraw_lost_runs(worker_state& worker);
    void clear_of_crash(task_state& task, run_number run);
    void clear_if_lasting(task_state& task);
    void end_trial(task_state& task, run_number run);
    bool give_up_if_due(task_state& task);
    void give_up_recorded(job_state& job);

    // coordinator_trials.cpp
    void start_trial(job_state& job, task_state& task);
    worker_state* best_trial_worker(const candidates& found, const task_state& task) const;
    void note_crashed_address(const endpoint& address);
    bool has_waited_for_trial(const task_state& task) const;
    candidates trial_candidates(candidates found) const;
    bool crashed_recently(const worker_state& worker) const;
    bool is_quiet_for(const worker_state& worker, const task_state& task) const;
    void hold_for_trial(const candidates& found, const task_state& task);
    bool is_kept_for_trial(const worker_state& worker) const;
    void record_trial(task_state& task, worker_state& worker);
    worker_state* choose_kept_worker(const job_state& job, const task_state& task);
    candidates without_trials(candidates found) const;
    candidates without_kept_workers(candidates found) const;
    const task_state* trial_to_wait_for(const step_state& step) const;

    // coordinator_candidates.cpp
    /// Requirements of a step for which this placement round found no worker.
    struct failed_search {
        service_id service;
        bool best_effort = false;
        resources size;
    };
    void add_slot(worker_state& worker);
    void remove_slot(worker_state& worker);
    void update_label_tags(worker_state& worker);
    void update_image_tags(worker_state& worker);
    static bool is_listing_current(const worker_state& worker);
    bool accepts_starts(const worker_state& worker) const;
    void update_index(worker_state& worker);
    tag_number image_tag(image_number image);
    candidates search(const job_state& job, const step_state& step, const rack_id& only_rack);
    void visit_candidates(const job_state& job, const step_state& step, const rack_id& only_rack,
                          const candidate_index::visitor& visit);
    static bool is_failure_conclusive(const job_state& job, const step_state& step);
    bool has_failed_search(const job_state& job, const step_state& step) const;
    worker_state* choose_worker(const job_state& job, const task_state& task,
                                const rack_id& only_rack);
    worker_state* choose_recorded(const job_state& job, const task_state& task);
    worker_state* best_candidate(const candidates& found, const task_state& task) const;
    void update_score(candidates& found, const worker_state& worker, const step_state& step) const;
    bool is_known_responsive(const worker_state& worker, const task_state& task) const;

    // coordinator_reservations.cpp
    void update_reservations();
    std::vector<const task_state*> service_tasks_without_run() const;

    // coordinator_advice.cpp
    bool is_advised(const worker_state& worker, const job_state& job, const step_state& step) const;
    std::string ticket_for(task_state& task, const worker_state& worker) const;
    void request_advice(job_state& job, const task_state& task);
    std::vector<worker_id> advice_candidates(const job_state& job, const task_state& task) const;
    void apply_advice(const task_name& name, const std::vector<worker_id>& asked, instant sent,
                      const std::optional<worker_advice>& advice);

    dependencies deps_;
    cell_settings settings_;
    lease_epoch epoch_;
    instant term_started_at_;
    cell_config config_;
    absl::flat_hash_set<data_centre_id> evacuated_;
    // Ordered, as the workers are, so that decisions do not depend on hash order.
    std::map<job_id, std::unique_ptr<job_state>> jobs_;
    absl::flat_hash_map<job_id, job_state*> job_index_;
    /// Ended jobs, the first to end in front.
    std::deque<job_state*> ended_jobs_;
    std::vector<job_state*> open_jobs_;
    waiting_jobs queues_;
    /// Jobs whose positions in `queues_` may be out of date.
    std::vector<job_state*> changed_jobs_;
    /// Jobs whose progress, or whose set of workers, has changed since it was last written.
    std::vector<job_state*> dirty_;
    std::vector<job_state*> ordered_to_changed_;
    std::map<worker_id, std::unique_ptr<worker_state>> workers_;
    /// Index for finding workers for tasks; its slots are indexes into `slots_`.
    candidate_index index_;
    std::vector<worker_state*> slots_;
    std::vector<worker_slot> unused_slots_;
    /// Tag of each image in the candidate index, by image number.
    std::vector<tag_number> image_tags_;
    std::uint64_t searches_ = 0;
    /// Failed searches of this round, by image.
    absl::flat_hash_map<image_number, std::vector<failed_search>> failed_searches_;
    /// Workers looked at in this term by searches that found none.
    std::uint64_t failed_visits_ = 0;
    /// Lease renewals by due time; an entry is valid while it equals the worker's `next_renewal`.
    std::priority_queue<due_renewal, std::vector<due_renewal>, std::greater<>> due_renewals_;
    /// Workers on which a predecessor may have started tasks and that have not reported yet, and
    /// when the leases of those tasks have expired.
    absl::flat_hash_map<worker_id, instant> unresolved_;
    /// Workers that have reported in this term what runs there, but not yet all ended runs. Only
    /// service tasks that ran there may start again.
    absl::flat_hash_set<worker_id> unread_;
    worker_fingerprints unresolved_marks_;
    /// Incarnations of the workers that predecessors granted leases to, and when the longest lease
    /// that a predecessor's order can have caused has expired.
    absl::flat_hash_map<worker_id, std::uint64_t> leased_incarnations_;
    instant longest_leases_expired_at_{};
    /// Workers of which the log has a record.
    std::set<worker_id> recorded_;
    std::optional<std::size_t> marked_unresolved_;
    ended_page_queue ended_pages_{max_ended_pages};
    /// When a worker last crashed at an address.
    std::map<endpoint, instant> last_crashes_;
    /// Starts of this round that are ordered once the log has their records.
    std::vector<std::pair<task_name, run_number>> unrecorded_starts_;
    /// Tasks whose runs have to be stopped.
    std::vector<task_name> tasks_to_stop_;
    std::uint64_t last_run_ = 0;
    bool superseded_ = false;
    bool placement_due_ = true;
    instant last_round_at_{};
    /// Where the next placement round goes on, by pass; nothing where the last one looked at all.
    std::array<std::optional<service_order>, placement_passes> round_cursors_;
    /// The last round started as many batch tasks as a round may.
    bool starts_limited_ = false;
    /// Starts that are due to the jobs that have waited longest, and where the next round goes on
    /// among them: those whose prospect isn't lost, and the others.
    double aging_credit_ = 0;
    std::uint64_t aging_rounds_ = 0;
    std::array<aging_cursor, 2> aging_cursors_;
    instant next_placement_{};
    instant next_sweep_{};
    instant next_stragglers_{};
    instant next_waiting_log_{};
    instant next_best_effort_log_{};
    instant next_overdue_{};
    instant next_scarce_log_{};
    /// `counts_` when they were last logged.
    coordinator_counts logged_counts_;
    bool is_busy_ = false;
    /// At most one request to the placement advisor is in flight.
    bool advice_in_flight_ = false;
    instant next_advice_{};
    coordinator_counts counts_;
    slowdown_model slowdowns_;
    std::string recorded_slowdowns_;
    instant next_slowdowns_{};
    /// Expires with this object, so that late callbacks are dropped.
    /// The record that the log rejected last, and since when it rejects it.
    std::string rejected_key_;
    instant rejected_since_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
