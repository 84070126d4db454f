#pragma once

#include "figwinch/cell.h"

#include <functional>
#include <optional>

namespace figwinch {

/// What is known of a job that a caller asks for.
struct job_answer {
    enum class kind {
        /// Nobody could be asked in time, or no copy could be brought up to date.
        cant_tell,
        /// The log doesn't have it.
        unknown,
        found,
    };
    kind known = kind::cant_tell;
    /// Where it was found; its spec is there, but may be empty.
    job_entry job;
};

/// Answers callers' questions about jobs. Calls back once, by `end` at the latest. Owned by
/// `cell_member`.
class job_source {
public:
    using job_handler = std::function<void(const job_answer&)>;
    /// Nothing: can't tell.
    using waiting_handler = std::function<void(std::optional<std::size_t>)>;

    virtual ~job_source() = default;
    virtual void find(const job_id& id, instant end, job_handler done) = 0;
    /// Accepted jobs of a queue of which no task has started.
    virtual void count_waiting(const queue_name& queue, instant end, waiting_handler done) = 0;
    virtual void tick() = 0;
    /// Moves later ends to `latest`.
    virtual void end_by(instant latest) = 0;
};

} // namespace figwinch
