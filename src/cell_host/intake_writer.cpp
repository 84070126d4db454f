#include "cell_host/intake_writer.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration retry_period = std::chrono::milliseconds(100);
constexpr std::size_t most_entries = 200;
constexpr std::size_t most_bytes = std::size_t{64} * 1024;

std::size_t size_of(const std::vector<stored_record>& records) {
    std::size_t bytes = 0;
    for (const stored_record& record : records)
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
    return bytes;
}

} // namespace

void intake_writer::entry::end(intake_outcome outcome) {
    if (const handler call = std::exchange(done, nullptr))
        call(outcome);
}

intake_writer::intake_writer(const clock& time, durable_log& log,
                             std::function<void(const stored_record&)> applied)
    : time_(time), log_(log), applied_(std::move(applied)) {}

void intake_writer::write(std::vector<stored_record> records, instant deadline, handler done) {
    waiting_.push_back({std::move(records), deadline, std::move(done), false});
    if (!in_flight_ && time_.now() >= next_send_)
        send();
}

void intake_writer::tick() {
    end_overdue(waiting_);
    if (in_flight_) {
        end_overdue_in_flight();
    } else {
        end_overdue(batch_);
        if (time_.now() >= next_send_ && (!batch_.empty() || !waiting_.empty()))
            send();
    }
}

void intake_writer::end_by(instant latest) {
    for (std::deque<entry>* const entries : {&waiting_, &batch_})
        for (entry& held : *entries)
            held.deadline = std::min(held.deadline, latest);
}

void intake_writer::end_overdue(std::deque<entry>& entries) {
    const instant now = time_.now();
    std::deque<entry> keep;
    for (entry& waiting : std::exchange(entries, {})) {
        if (now < waiting.deadline)
            keep.push_back(std::move(waiting));
        else
            waiting.end(waiting.doubtful ? intake_outcome::unknown : intake_outcome::not_stored);
    }
    entries.insert(entries.begin(), std::make_move_iterator(keep.begin()),
                   std::make_move_iterator(keep.end()));
}

/// The append goes on: its records are applied when the log has them.
void intake_writer::end_overdue_in_flight() {
    const instant now = time_.now();
    for (entry& sent : batch_)
        if (now >= sent.deadline)
            sent.end(intake_outcome::unknown);
}

void intake_writer::send() {
    std::size_t bytes = 0;
    for (const entry& waiting : batch_)
        bytes += size_of(waiting.records);
    while (!waiting_.empty() && batch_.size() < most_entries) {
        bytes += size_of(waiting_.front().records);
        if (!batch_.empty() && bytes > most_bytes)
            break;
        batch_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    std::vector<stored_record> records;
    for (const entry& waiting : batch_)
        records.insert(records.end(), waiting.records.begin(), waiting.records.end());
    in_flight_ = true;
    log_.append(cell_stream::intake, records, {},
                [this, weak = std::weak_ptr(alive_)](const append_result& result) {
                    if (!weak.expired())
                        take(result);
                });
}

void intake_writer::take(const append_result& result) {
    in_flight_ = false;
    if (result.fault == log_fault::none)
        return commit(result.offset);
    next_send_ = time_.now() + retry_period;
    if (result.fault == log_fault::unavailable)
        return refuse_batch();
    end_in_doubt();
}

/// No answer: the same records are sent once more, since a lost answer is cheap to get again.
/// Without an answer to that either, callers are told so and can ask at another host.
void intake_writer::end_in_doubt() {
    std::deque<entry> keep;
    for (entry& waiting : std::exchange(batch_, {})) {
        if (std::exchange(waiting.doubtful, true))
            waiting.end(intake_outcome::unknown);
        else
            keep.push_back(std::move(waiting));
    }
    batch_.insert(batch_.begin(), std::make_move_iterator(keep.begin()),
                  std::make_move_iterator(keep.end()));
    end_overdue(batch_);
    next_send_ = time_.now();
}

void intake_writer::commit(std::uint64_t offset) {
    std::deque<entry> batch = std::exchange(batch_, {});
    for (entry& stored : batch) {
        for (stored_record& record : stored.records) {
            record.offset = offset++;
            applied_(record);
        }
    }
    for (entry& stored : batch)
        stored.end(intake_outcome::stored);
    if (!in_flight_ && !waiting_.empty())
        send();
}

/// The log itself refused: callers get their final answer now, so that they can go elsewhere. What
/// an earlier append left in doubt stays so: that one may be stored yet.
void intake_writer::refuse_batch() {
    for (entry& waiting : std::exchange(batch_, {}))
        waiting.end(waiting.doubtful ? intake_outcome::unknown : intake_outcome::not_stored);
}

} // namespace figwinch
