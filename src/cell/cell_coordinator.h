#pragma once

#include "cell/job_work.h"
#include "cell/straggler.h"
#include "cell/worker_work.h"
#include "figwinch/cell/coordinator.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <queue>

namespace figwinch {

/// A worker that hasn't reported for longer gets nothing new.
inline constexpr duration reported_within = std::chrono::milliseconds(2200);

/// The coordinator's rules. Spread over files by what they are about: jobs, their records, workers
/// and their reports, leases, sharing, runs, stops, placement and advice.
class cell_coordinator final : public coordinator {
public:
    cell_coordinator(parts with, const cell_settings& settings, lease_epoch epoch,
                     const predecessor& before, const cell_state& known);

    void take_config(const cell_config& config) override;
    void take_evacuated(absl::flat_hash_set<data_centre_id> data_centres) override;
    void take_listing(const std::vector<worker_listing>& listing) override;
    void take_intake(const job_entry& job) override;
    void tick() override;
    coordinator_counts counts() const override;
    coordinator_view view() const override;
    outstanding_orders outstanding() const override;
    void take_outstanding(const outstanding_orders& orders) override;

private:
    void log_waiting() const;
    void log_lasting_waits();
    std::int64_t count_down(const step_work& step, const task_work*& longest) const;
    void record_slowdowns();

    // coordinator_jobs.cpp
    void add_job(const job_entry& entry, bool may_run_elsewhere);
    void restore_progress(job_work& job, const job_progress& progress);
    occurrence_work& make_occurrence(job_work& job, std::uint32_t number);
    void make_due_occurrences(job_work& job);
    void refresh_ready(occurrence_work& occurrence);
    void apply_queue(job_work& job) const;
    void end_task(task_work& task);
    void end_step(job_work& job, step_work& step);
    void end_job(job_work& job, job_phase phase);
    void drop_ended_jobs();
    bool may_drop(const job_work& job) const;
    void drop_job(job_work& job);
    void look_ahead(job_work& job) const;
    void sort_jobs();
    job_work* find_job(const job_id& id);
    task_work* find_task(const task_name& name);
    static task_name name_of(const task_work& task);

    // coordinator_records.cpp
    void mark_dirty(job_work& job);
    void mark_widened(job_work& job, const worker_work& worker);
    void write_dirty();
    void write_progress(const job_work& job);
    static bool has_own_record(const step_spec& step);
    static bool is_recorded_at(const task_work& task, const worker_work& worker);
    void note_place(task_work& task, const worker_work& worker);
    void order_when_recorded();
    void order_recorded(const task_name& name, run_number run);

    // coordinator_workers.cpp
    struct due_hold {
        instant at{};
        worker_slot worker = 0;
        // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(const due_hold&, const due_hold&) = default;
    };
    void hold_due();
    void hold_at(worker_work& worker, instant when);
    void hold(worker_work& worker);
    duration lease_to_ask(instant now) const;
    void take_report(const worker_id& id, instant asked, order_outcome outcome,
                     const worker_report& report);
    bool is_other_life(const worker_id& id, std::uint64_t born_ms) const;
    duration longest_held_before(const worker_id& id, std::uint64_t born_ms) const;
    void start_new_life(worker_work& worker, const worker_report& report);
    void register_life(worker_work& worker);
    void take_silence(worker_work& worker);
    void end_silence(worker_work& worker);
    worker_work* find_worker(const worker_id& id);

    // coordinator_reports.cpp
    void take_ends(worker_work& worker, const std::vector<ended_run>& rows);
    void take_running(worker_work& worker, const worker_report& report, instant asked);
    task_work* task_of(const worker_work& worker, const active_run& row);
    void take_row(worker_work& worker, const active_run& row, task_work* task);
    void drop_missing(worker_work& worker, const worker_report& report, instant asked);
    static std::optional<resources> stray_size(const worker_work& worker,
                                               const worker_report& report,
                                               const std::vector<const task_work*>& shown);

    // coordinator_sharing.cpp
    static void log_sharing(const worker_work& worker);
    void share_processors(worker_work& worker);
    void learn_slowdowns(const worker_work& worker, const std::vector<serving_view>& serving);

    // coordinator_leases.cpp
    void expire_leases();
    void end_lease(worker_work& worker);
    void forget_gone_workers();
    void resolve(const worker_id& id);
    void resolve_expired();
    void mark_unresolved();
    void log_resolved() const;
    bool is_settled(instant& since) const;
    bool log_confirms() const;
    bool sees_notices() const;
    bool may_start(const task_work& task) const;

    // coordinator_stops.cpp
    void request_stop(task_work& task);
    void stop_stray(const worker_work& worker, const std::string& task, run_number run);
    void send_stops();
    void take_stop_answer(const task_name& name, run_number run, const order_answer& answer);
    void send_pace(task_work& task);
    void take_pace_answer(const task_name& name, run_number run, int percent,
                          const order_answer& answer);

    // coordinator_stragglers.cpp
    void note_progress(task_run& run, int percent) const;
    void note_whole_time(task_work& task);
    void move_stragglers();
    void move_stragglers_of(step_work& step);
    void move_straggler(task_work& task, bool still);

    // coordinator_step_down.cpp
    std::optional<duration> time_left(const worker_work& worker) const;
    void list_not_ordered(const job_work& job, std::vector<std::string>& names) const;
    bool is_surely_not_ordered(const task_work& task) const;

    // coordinator_view.cpp
    static void count_tasks(const job_work& job, job_view& row);
    worker_standing standing_of(const worker_work& worker) const;
    job_wait wait_of(const job_work& job) const;
    job_wait wait_of(const job_work& job, const task_work& task) const;

    // coordinator_runs.cpp
    void start(task_work& task, worker_work& worker, run_number run, const std::string& checkpoint);
    void order_start(task_work& task);
    bool is_start_wanted(const task_name& name, run_number run, const worker_id& worker,
                         std::uint64_t born_ms);
    void take_start_answer(const task_name& name, run_number run, const worker_id& worker,
                           const order_answer& answer);
    void give_back(task_work& task, worker_work& worker, std::string_view why, duration rest);
    void take_end(worker_work& worker, const ended_run& row);
    void take_good_end(task_work& task);
    void take_failure(task_work& task, worker_work& worker, run_number run);
    void note_failure_of(worker_work& worker, const job_id& job);
    void bind(task_work& task, worker_work& worker);
    void release(task_work& task);
    void list_images(worker_work& worker);
    run_number next_run();
    void be_deposed();

    // coordinator_placement.cpp
    enum class task_turn { lasting_again, short_task, lasting_first };
    struct waiting_step {
        job_work* job = nullptr;
        step_work* step = nullptr;
    };
    void place_all();
    std::vector<waiting_step> waiting_steps() const;
    bool place_steps(const std::vector<waiting_step>& waiting, task_turn turn, std::uint64_t most);
    bool place_step(job_work& job, step_work& step, task_turn turn);
    bool place_gang(job_work& job, step_work& step);
    bool usable(const worker_work& worker, const job_work& job) const;
    bool admits(const worker_work& worker, const step_work& step) const;
    double score(const worker_work& worker, const step_work& step) const;
    double score_serving(const worker_work& worker, const step_work& step) const;
    double score_filling(const worker_work& worker, const step_work& step) const;
    bool may_fill(const worker_work& worker, const step_work& step) const;
    std::int64_t left_to_fill(const worker_work& worker) const;
    void leave_leaving_workers();

    // coordinator_candidates.cpp
    /// A worker that admits a step's tasks, and how well one would do there; higher is better.
    struct candidate {
        worker_work* worker = nullptr;
        double score = 0;
    };
    using candidates = std::vector<candidate>;
    /// What a step asks for that no worker was found to admit in this round.
    struct vain_search {
        service_id service;
        image_number image = 0;
        bool filling = false;
        resources size;
    };
    void add_slot(worker_work& worker);
    void drop_slot(worker_work& worker);
    void tag_labels(worker_work& worker);
    void tag_images(worker_work& worker);
    bool takes_starts(const worker_work& worker) const;
    void offer(worker_work& worker);
    tag_number image_tag(image_number image);
    candidates search(const job_work& job, const step_work& step, const rack_id& only_rack);
    void visit_for(const job_work& job, const step_work& step, const rack_id& only_rack,
                   const candidate_index::visitor& visit);
    static bool may_be_vain(const job_work& job, const step_work& step);
    bool is_vain(const job_work& job, const step_work& step) const;
    worker_work* choose(const job_work& job, const task_work& task, const rack_id& only_rack);
    worker_work* choose_recorded(const job_work& job, const task_work& task);
    worker_work* best_of(const candidates& found, const task_work& task) const;
    void renew_score(candidates& found, const worker_work& worker, const step_work& step) const;
    bool is_surely_there(const worker_work& worker, const task_work& task) const;

    // coordinator_room.cpp
    void keep_room();
    std::vector<const task_work*> lasting_without_run() const;

    // coordinator_advice.cpp
    bool is_advised(const worker_work& worker, const job_work& job, const step_work& step) const;
    std::string ticket_for(task_work& task, const worker_work& worker) const;
    void ask_advice(job_work& job, const task_work& task);
    std::vector<worker_id> advice_candidates(const job_work& job, const task_work& task) const;
    void take_advice(const task_name& name, const std::vector<worker_id>& asked, instant sent,
                     const std::optional<worker_advice>& advice);

    parts with_;
    cell_settings settings_;
    lease_epoch epoch_;
    instant began_;
    cell_config config_;
    absl::flat_hash_set<data_centre_id> evacuated_;
    // Ordered, as the workers are: what is decided must not hang on where a hash puts its keys.
    std::map<job_id, std::unique_ptr<job_work>> jobs_;
    absl::flat_hash_map<job_id, job_work*> job_index_;
    /// Jobs that have ended, the first to end in front.
    std::deque<job_work*> ended_jobs_;
    /// Open jobs in the order in which they are served.
    std::vector<job_work*> order_;
    /// Jobs whose progress, or whose workers, have changed since they were last written.
    std::vector<job_work*> dirty_;
    std::vector<job_work*> widened_;
    std::map<worker_id, std::unique_ptr<worker_work>> workers_;
    /// Finds workers for tasks; its slots are the places of `slots_`.
    candidate_index index_;
    std::vector<worker_work*> slots_;
    std::vector<worker_slot> unused_slots_;
    /// By number of the image.
    std::vector<tag_number> image_tags_;
    std::uint64_t searches_ = 0;
    std::vector<vain_search> vain_searches_;
    /// Holds by when they are due; an entry counts while it says what the worker says.
    std::priority_queue<due_hold, std::vector<due_hold>, std::greater<>> due_holds_;
    /// Workers that a predecessor may have given tasks and that haven't reported, and when what
    /// they had must be over.
    absl::flat_hash_map<worker_id, instant> unresolved_;
    worker_fingerprints unresolved_marks_;
    /// The lives of workers that predecessors held, and when a whole lease that they brought about
    /// must be over.
    absl::flat_hash_map<worker_id, std::uint64_t> held_lives_;
    instant whole_leases_over_{};
    std::size_t marked_unresolved_ = 0;
    /// Starts of this round that go out once the log has them.
    std::vector<std::pair<task_name, run_number>> recording_;
    /// Runs that have to go.
    std::vector<task_name> stopping_;
    std::uint64_t last_run_ = 0;
    bool deposed_ = false;
    bool placement_due_ = true;
    /// Jobs have come, or their prospects have changed: `order_` isn't in order.
    bool sort_due_ = true;
    instant next_placement_{};
    instant next_sweep_{};
    instant next_stragglers_{};
    instant next_lasting_waits_{};
    /// One call for advice at a time.
    bool advice_in_flight_ = false;
    instant next_advice_{};
    coordinator_counts counts_;
    slowdown_model slowdowns_;
    std::string recorded_slowdowns_;
    instant next_slowdowns_{};
    /// Expires with this object: answers that come later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
