#pragma once

#include "tools/load/entry_pool.h"
#include "tools/load/outcome.h"
#include "tools/load/trace.h"

#include <map>

namespace figwinch::load {

/// Submits jobs as a patient submitter would (again after a refusal that promises "not run", and
/// after silence, under the same id) and follows each to its end. Owned by the run.
class job_follower {
public:
    job_follower(event_loop& loop, const clock& time, entry_pool& entries, instant start);

    void submit(const pb::TraceLine& line);
    void cancel(const pb::TraceLine& line);
    /// True when every job has ended or was refused for good.
    bool all_ended() const;
    std::vector<job_outcome> outcomes() const;

private:
    struct followed {
        pb::TraceLine line;
        job_outcome outcome;
        bool open = true;
        bool busy = false;
        bool cancel_wanted = false;
    };

    void poll();
    void send_submission(followed& job);
    void take_submission(followed& job, const call_result& result);
    void send_query(followed& job);
    void take_state(followed& job, const call_result& result);
    void send_cancel(followed& job);
    duration since_start() const;

    event_loop& loop_;
    const clock& time_;
    entry_pool& entries_;
    instant start_;
    /// By customer and id.
    std::map<std::pair<std::string, std::string>, followed> jobs_;
    std::unique_ptr<event_handle> polling_;
};

} // namespace figwinch::load
