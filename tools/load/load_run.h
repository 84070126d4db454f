#pragma once

#include "tools/load/entry_pool.h"
#include "tools/load/job_follower.h"
#include "tools/load/outcome.h"
#include "tools/load/trace.h"

#include <functional>
#include <vector>

namespace figwinch::load {

/// How a run behaves.
struct run_settings {
    std::vector<endpoint> entries;
    /// How long after the last event jobs are followed and answers awaited.
    duration settle = std::chrono::seconds(60);
};

/// Sends a trace at its own times, whatever becomes of earlier requests, so that a slow system does
/// not slow the arrivals down and hide its own tail. Owned by `main`.
class load_run {
public:
    load_run(event_loop& loop, const clock& time, run_settings settings, trace events);

    /// Sends everything; calls `done` when all has ended or the settle time is over.
    void start(std::function<void()> done);

    const std::vector<request_outcome>& requests() const { return requests_; }
    std::vector<job_outcome> jobs() const { return jobs_->outcomes(); }

private:
    void send_due();
    void send(const pb::TraceLine& line);
    void send_request(const pb::TraceLine& line);
    void take_answer(const pb::TraceLine& line, request_outcome& outcome,
                     const call_result& result) const;
    void check_end();
    instant due(const pb::TraceLine& line) const;

    event_loop& loop_;
    const clock& time_;
    run_settings settings_;
    trace events_;
    entry_pool entries_;
    instant start_{};
    std::size_t next_ = 0;
    std::size_t open_ = 0;
    std::vector<request_outcome> requests_;
    std::unique_ptr<job_follower> jobs_;
    std::unique_ptr<event_handle> sending_;
    std::unique_ptr<event_handle> checking_;
    std::function<void()> done_;
};

} // namespace figwinch::load
