#pragma once

#include "figwinch/cell.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace figwinch {

/// What became of a record that a caller waits for.
enum class intake_outcome {
    stored,
    /// Certainly not in the log, and never will be.
    not_stored,
    /// May be in the log or still get there.
    unknown,
};

/// Appends jobs and cancellations to the intake stream, gathered in batches. An append without an
/// answer is sent once more, since the same record twice is the same job; then callers are told.
/// An append is bounded in records and bytes, so that it passes a narrow link in time.
/// Owned by the host's daemon.
class intake_writer {
public:
    using handler = std::function<void(intake_outcome)>;

    /// `applied` gets each record once the log has it, before its caller is told.
    intake_writer(const clock& time, durable_log& log,
                  std::function<void(const stored_record&)> applied);

    /// Calls back once, at `deadline` at the latest and as soon as the outcome is settled or can't
    /// be.
    void write(std::vector<stored_record> records, instant deadline, handler done);
    void tick();
    /// Moves later deadlines to `latest`.
    void end_by(instant latest);
    std::size_t waiting() const { return waiting_.size() + batch_.size(); }

private:
    struct entry {
        std::vector<stored_record> records;
        instant deadline{};
        handler done;
        /// An append that held it went unanswered: it may be in the log.
        bool doubtful = false;

        /// Tells the caller once.
        void end(intake_outcome outcome);
    };

    void send();
    void take(const append_result& result);
    void end_in_doubt();
    void commit(std::uint64_t offset);
    void refuse_batch();
    void end_overdue(std::deque<entry>& entries);
    void end_overdue_in_flight();

    const clock& time_;
    durable_log& log_;
    std::function<void(const stored_record&)> applied_;
    std::deque<entry> waiting_;
    std::deque<entry> batch_;
    bool in_flight_ = false;
    instant next_send_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
