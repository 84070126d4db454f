#pragma once

#include "figwinch/base.h"
#include "figwinch/config.h"
#include "figwinch/interference.h"
#include "figwinch/jobs.h"
#include "figwinch/learning.h"
#include "figwinch/lease.h"
#include "figwinch/log.h"
#include "figwinch/membership.h"
#include "figwinch/placement.h"
#include "scheduler/batch_writer.h"
#include "scheduler/scheduler_actions.h"
#include "scheduler/scheduler_settings.h"
#include "scheduler/start_pacer.h"
#include "wire.pb.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace figwinch {

/// What a scheduler learns from; any may be null.
struct scheduler_policies {
    size_estimator* sizes = nullptr;
    failure_policy* failures = nullptr;
    interference_controller* interference = nullptr;
};

/// All decisions of a scheduler, without I/O. The daemon feeds it pages of the jobs stream, replies
/// and members, calls `tick` and carries out what that returns. Owned by the daemon.
class scheduler_core final : private job_fold_listener, private worker_lease_listener {
public:
    using reply_handler = std::function<void(absl::Status, const pb::JobView&)>;

    scheduler_core(scheduler_settings with, const config_view& config, scheduler_policies policies,
                   instant now);

    // Input.
    void on_config(instant now);
    void on_members(const std::vector<member>& members, instant now);
    void on_jobs_page(const log_page& page, instant sent_at, instant now);
    /// The record that is to be read next has expired; `first_kept` is the oldest one left.
    void on_log_truncated(log_offset first_kept, instant now);
    void on_log_unavailable(instant sent_at) { evidence_.note_unavailable(sent_at); }
    void on_append_outcome(append_outcome outcome, instant now);
    void on_worker_reply(std::uint64_t token, const pb::WorkerReply& reply, instant now);
    void on_no_worker_reply(std::uint64_t token, instant now);
    pb::PeerReply on_fence_query(const incarnation_id& from, const pb::FenceQuery& query,
                                 instant now);
    void on_fence_reply(const incarnation_id& from, const pb::FenceReply& reply, instant asked_at,
                        instant now);

    /// Room of the roomiest worker of a peer, by its heartbeat.
    void on_peer_room(const incarnation_id& peer, const resources& room);
    /// The same of this process, for its own heartbeats; zero while nothing may be started here.
    resources largest_room(instant now) const;

    /// What an entry saw of executors that share hosts with workers.
    void on_latency(const pb::LatencyReport& report, instant now);

    // Requests of callers; `done` is called once.
    void submit(const pb::JobSpec& spec, reply_handler done, instant now);
    void cancel(const job_key& job, reply_handler done, instant now);
    absl::StatusOr<pb::JobView> show(const job_key& job) const;
    pb::JobList list(const customer_id& customer, int limit) const;
    /// Owner of a job that the log tells of; empty when there is none.
    incarnation_id owner_of(const job_key& job) const;

    /// Moves time on; returns what is to be done.
    scheduler_actions tick(instant now);
    /// Planned stop: takes no jobs, hands its jobs to another scheduler and gives its leases back.
    void begin_stop(instant now);
    /// Everything has been handed over.
    bool is_stopped() const;
    /// Another scheduler has taken its jobs over; the process is to come back as a new incarnation.
    bool is_deposed() const { return deposed_; }
    /// The jobs stream has been read up to its tail once.
    bool is_recovered() const { return recovered_; }
    /// Why nothing may be started now; `ok` when starts are allowed.
    result_code start_verdict(instant now) const;

    log_offset next_offset() const { return fold_.position().next(); }
    const worker_lease_table& leases() const { return leases_; }
    const job_fold& fold() const { return fold_; }
    const job_book& book() const { return book_; }
    std::size_t queued_jobs() const { return queue_.size(); }
    std::size_t open_fences() const { return fences_.size(); }

private:
    struct waiting_request {
        reply_handler done;
        instant deadline{};
        pb::JobSpec spec;
        bool cancelling = false;
    };

    // job_fold_listener
    void on_accepted(const job_record& job) override;
    void on_task_ended(const job_record& job, int index) override;
    void on_cancelled(const job_record& job) override;
    void on_owner_changed(const job_record& job, const incarnation_id& previous,
                          bool taken_over) override;
    void on_taken_over(const incarnation_id& previous, log_offset record,
                       bool handed_over) override;
    // worker_lease_listener
    void on_held(const leased_worker& worker) override;
    void on_listed(const leased_worker& worker, instant sent_at) override;
    void on_lost(const leased_worker& worker) override;
    void on_found(const leased_worker& worker, const task_id& task,
                  const held_task& attempt) override;
    void on_ended(const leased_worker& worker, const pb::EndedTask& report) override;
    void on_gone(const leased_worker& worker, const task_id& task, attempt_number attempt) override;
    void on_room(const leased_worker& worker) override;
    bool may_acknowledge(const pb::EndedTask& report) const override;

    // Log and ownership (core_log.cpp)
    void take_up(const job_record& job, bool fenced_off);
    void let_go(const job_key& key);
    void keep_in_log(const job_key& key, instant due);
    void after_record(log_offset offset);
    void write_snapshots(instant now);

    // Workers (core_workers.cpp)
    void police(const worker_id& worker);
    void police_task(const worker_id& worker, const task_id& task, const held_task& one);
    void take_report(const pb::EndedTask& report, const worker_id& worker);
    void learn_from(const pb::EndedTask& report, const worker_id& worker);

    // Fences, take-overs and moves (core_ownership.cpp)
    void run_fences(instant now, scheduler_actions& out);
    void take_over_dead_owners(instant now);
    bool is_gone(const incarnation_id& owner, instant now) const;
    void resolve_located(const std::map<worker_id, lease_epoch>& held,
                         const std::set<worker_id>& quiet, const std::set<task_id>& listed,
                         instant asked_at, instant now);
    void lift_complete_fences();
    void move_jobs(instant now);
    const member* new_home(const pb::JobSpec& spec) const;
    bool is_starved(const job_entry& job, instant now) const;
    const member* roomy_home(const pb::JobSpec& spec);
    void give_away(job_entry& job, const member& home);
    bool suits_here(const pb::JobSpec& spec) const;

    // Placement (core_placement.cpp)
    void place(instant now);
    job_queue::visit_result place_job(const job_key& key, std::vector<resources>& too_large,
                                      instant now);
    enum class placing {
        placed,
        /// No worker has room for the size; nor has it for a larger one.
        no_room,
        /// Some worker has room, but not for this very task.
        unsuitable,
    };
    placing place_task(job_entry& job, int index, const resources& size, instant now);
    void start_on(const worker_id& worker, job_entry& job, int index, const resources& size,
                  instant now);
    /// Whether a task on its way back to `worker` after a failure has to wait for another worker.
    bool must_go_elsewhere(const task_id& task, const worker_id& worker, const resources& size,
                           instant now) const;
    /// Whether a worker is left, full or not, that can take the task and hasn't failed it.
    bool has_fresh_worker(const task_id& task, const resources& size, instant now) const;
    void enqueue(const job_key& key);
    void update_usage(const customer_id& customer);
    bool over_quota(const customer_id& customer, const resources& size) const;

    // Latency-critical neighbours (core_interference.cpp)
    void run_interference(instant now);
    void apply(const interference_action& action, const worker_id& worker, const std::string& host,
               instant now);
    std::optional<double> neighbour_cost(const std::string& host, const template_id& copied_from,
                                         instant now) const;

    // Requests (core_requests.cpp)
    absl::Status check_spec(const pb::JobSpec& spec) const;
    /// Refuses what can never run and what is over the customer's bounds.
    absl::Status check_limits(const pb::JobSpec& spec) const;
    void answer(const job_key& key, bool cancelling, const absl::Status& status);
    void expire_requests(instant now);
    void accept(const pb::JobSpec& spec, reply_handler done, instant now);

    // Jobs of the manifest (core_manifest.cpp)
    void declare_manifest_jobs(instant now);
    void drop_undeclared_jobs(const std::set<job_key>& declared, instant now);

    bool is_mine(const job_record& job) const { return job.owner == self_; }
    bool centre_in_service(const data_centre_id& centre) const;
    std::vector<const member*> live_schedulers(const data_centre_id& centre) const;

    scheduler_settings with_;
    const config_view& config_;
    scheduler_policies policies_;
    incarnation_id self_;
    instant started_at_;
    /// Time of the call that is being handled, for listeners.
    instant now_{};
    log_evidence evidence_;
    job_fold fold_;
    job_book book_;
    job_queue queue_;
    worker_index index_;
    worker_lease_table leases_;
    batch_writer writer_;
    start_pacer pacer_;
    std::vector<member> members_;
    /// Live schedulers of the data centre, and when they last changed.
    std::vector<node_id> schedulers_;
    instant schedulers_changed_at_{};
    std::list<takeover_fence> fences_;
    std::map<incarnation_id, std::vector<job_key>> gained_;
    std::map<incarnation_id, instant> takeover_tried_;
    /// By take-over record: when the previous owner can't start anything any more.
    std::map<log_offset, instant> starts_over_at_;
    std::map<incarnation_id, resources> peer_rooms_;
    instant renew_all_at_{};
    bool renew_all_ = false;
    std::multimap<job_key, waiting_request> requests_;
    std::unordered_map<job_key, instant> snapshot_due_;
    std::set<std::pair<instant, job_key>> snapshot_order_;
    /// Finished jobs that the manifest no longer declares and whose release is being written.
    std::set<job_key> releasing_;
    /// Hosts of which entries report, and until when no batch work is placed on them.
    std::map<std::string, instant> watched_hosts_;
    instant next_interference_{};
    instant next_fence_{};
    instant next_ownership_{};
    std::uint64_t queue_age_ = 0;
    bool recovered_ = false;
    bool deposed_ = false;
    bool stopping_ = false;
    bool centre_was_in_ = true;
    bool read_log_ = false;
};

} // namespace figwinch
