#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"

#include <set>
#include <vector>

namespace figwinch {

/// When the tasks of a taken-over owner may start again: once every worker of the data centre is
/// fenced, because any of them may run an attempt that no record tells of. One fence for each
/// take-over record; owned by a scheduler.
///
/// A worker is fenced when a scheduler other than the previous owner holds its lease, seen after
/// the record was folded; what the previous owner sends there is refused from then on, and the
/// holder knows every attempt. A worker that nobody can reach is fenced when `unreachable_after`
/// has passed since the fold and its present trier has sent it nothing for a whole lapse.
class takeover_fence {
public:
    takeover_fence(incarnation_id previous, log_offset record, instant folded_at,
                   duration unreachable_after, std::set<worker_id> workers,
                   std::vector<job_key> jobs);

    /// A live scheduler holds the worker, by a list that was made after the fold.
    void note_held(const worker_id& worker) { open_.erase(worker); }
    /// The worker's only trier reports that it has sent nothing for a whole lapse.
    void note_quiet(const worker_id& worker, instant now);
    /// Workers that the manifest no longer declares can't be held by anybody; they count as
    /// unreachable and quiet.
    bool is_complete() const { return open_.empty(); }

    const incarnation_id& previous() const { return previous_; }
    log_offset record() const { return record_; }
    instant folded_at() const { return folded_at_; }
    const std::set<worker_id>& open() const { return open_; }
    const std::vector<job_key>& jobs() const { return jobs_; }

private:
    incarnation_id previous_;
    log_offset record_;
    instant folded_at_;
    duration unreachable_after_;
    std::set<worker_id> open_;
    std::vector<job_key> jobs_;
};

} // namespace figwinch
