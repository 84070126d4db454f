#pragma once

#include "figwinch/base.h"
#include "worker.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace figwinch::standin {

/// One worker and its counters.
struct worker_model_settings {
    worker_id name;
    resources capacity;
    /// Epoch after a start or restart; must grow over restarts.
    std::uint64_t first_epoch = 1;
    /// Whether `start` checks room. Off only to prove that schedulers never rely on it.
    bool admission = true;
    /// Age of the usage figures in reports.
    duration report_lag = std::chrono::seconds(2);
    /// What tasks really use, in percent of their committed size.
    int used_percent = 70;
};

/// What became of one task on this worker, over all attempts; for tests.
struct task_history {
    int starts = 0;
    std::vector<std::uint64_t> attempts;
    /// Work done here, in milliseconds at full speed.
    double work_ms = 0;
    int finished = 0;
    /// The most work that a checkpoint written here holds.
    double checkpoint_ms = 0;
};

/// Rules of the stand-in for a worker (docs/PORTS.md), without I/O. All times are the worker's own.
class worker_model {
public:
    struct task {
        std::uint64_t attempt = 0;
        std::string job_owner;
        resources size;
        std::string customer;
        std::string template_name;
        bool latency_critical = false;
        int throttle_percent = 100;
        double work_ms = 0;
        double done_ms = 0;
        /// Work that the checkpoint brought along.
        double resumed_ms = 0;
        duration lease{};
        instant lease_until{};
        instant progressed_at{};
        bool fails = false;
    };

    worker_model(worker_model_settings with, instant now);

    /// Carries out one command that arrived at `now`.
    pb::WorkerReply handle(const pb::WorkerCommand& command, instant now);
    /// Lets work go on until `now`: tasks finish, fail, or lose their lease.
    void advance(instant now);
    /// Loses everything but its name; `epoch` must be above any before.
    void restart(std::uint64_t epoch, instant now);
    /// Tasks that start from now on fail after a tenth of their work.
    void fail_all(bool on) { fail_all_ = on; }
    void report_lag(duration lag) { with_.report_lag = lag; }

    const std::map<std::string, task>& running() const { return running_; }
    const std::map<std::string, task_history>& histories() const { return histories_; }
    resources committed() const { return committed_; }
    resources max_committed() const { return max_committed_; }
    const worker_model_settings& settings() const { return with_; }
    std::uint64_t epoch() const { return epoch_; }
    const std::string& holder() const { return holder_; }
    bool is_late(const pb::StartTask& ask, instant now) const;
    void note_handled(std::uint64_t serial, instant now);
    bool lease_valid(instant now) const { return !holder_.empty() && now < lease_until_; }

private:
    result_code check_lease(const pb::WorkerCommand& command, instant now) const;
    result_code acquire(const pb::AcquireLease& ask, instant now);
    result_code renew(const pb::RenewLease& ask, instant now);
    result_code start(const pb::StartTask& ask, instant now);
    result_code stop(const pb::StopTask& ask);
    result_code throttle(const pb::ThrottleTask& ask);
    void extend(duration lease, instant now);
    void progress(task& one, instant now);
    void end(const std::string& name, pb::TaskEnd how, bool checkpoint);
    void fill_lists(pb::WorkerReply& reply) const;

    worker_model_settings with_;
    std::uint64_t epoch_ = 0;
    std::string holder_;
    instant lease_until_{};
    struct handled_lease {
        std::uint64_t serial = 0;
        instant at{};
    };
    /// The newest lease commands, oldest first.
    std::deque<handled_lease> handled_;
    bool fail_all_ = false;
    std::map<std::string, task> running_;
    std::vector<pb::EndedTask> ended_;
    /// Highest attempt of each task that has ended or was stopped; later starts must be newer.
    std::map<std::string, std::uint64_t> closed_;
    std::map<std::string, task_history> histories_;
    resources committed_;
    resources max_committed_;
};

/// The checkpoint that holds `done_ms` of finished work, and back; 0 for anything else.
std::string make_checkpoint(double done_ms);
double checkpoint_work(const std::string& token);

} // namespace figwinch::standin
