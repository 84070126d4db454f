#pragma once

#include "figwinch/cell.h"

#include <functional>
#include <optional>

namespace figwinch {

/// Result of a job lookup.
struct job_answer {
    enum class kind {
        /// No read replica answered in time or could be brought up to date.
        undetermined,
        /// The log has no such job.
        unknown,
        found,
    };
    kind outcome = kind::undetermined;
    /// Set if the job was found. Its `spec` is never null, but empty if another host answered.
    job_entry job;
};

/// Looks up jobs for callers. Each lookup calls back once, at `end` at the latest. Owned by
/// `cell_member`.
class job_lookup {
public:
    using job_handler = std::function<void(const job_answer&)>;
    /// Called with nullopt if the count can't be determined in time.
    using waiting_handler = std::function<void(std::optional<std::size_t>)>;

    virtual ~job_lookup() = default;
    virtual void find(const job_id& id, instant end, job_handler done) = 0;
    /// Counts the accepted jobs of a queue of which no task has started.
    virtual void count_waiting(const queue_name& queue, instant end, waiting_handler done) = 0;
    virtual void tick() = 0;
    /// Lowers the ends of all lookups to `latest`.
    virtual void cap_deadlines(instant latest) = 0;
};

} // namespace figwinch
