#include "figwinch/cell/progress_writer.h"

#include "figwinch/observe.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figwinch {
namespace {

// An append costs the platform the same with one record as with fifty. At 165 task ends per second
// a period of 25 ms collects four records per batch and delays the end that a caller sees by 12 ms
// on average.
constexpr duration batch_period = std::chrono::milliseconds(25);
constexpr duration retry_period = std::chrono::milliseconds(150);
// An append is sent again if its answer takes longer than this and than several times the previous
// one: the answer may be lost.
constexpr duration min_resend_delay = std::chrono::milliseconds(100);
constexpr int resend_factor = 4;
// Limits the copies of one batch in flight, so that resends don't overload a log that has become
// slow.
constexpr std::size_t max_appends_in_flight = 3;
constexpr std::size_t max_batch_records = 500;
// A batch of this size passes a link of 1 Mbit/s in about one second; later records wait for it.
constexpr std::size_t max_batch_bytes = std::size_t{128} * 1024;

} // namespace

progress_writer::progress_writer(const clock& time, durable_log& log, lease_epoch epoch,
                                 const record_limits& limits,
                                 std::function<void(const stored_record&)> applied,
                                 std::function<void()> on_superseded)
    : time_(time), log_(log), epoch_(epoch), limits_(limits), applied_(std::move(applied)),
      on_superseded_(std::move(on_superseded)) {}

void progress_writer::fence(std::function<void(std::uint64_t)> done) {
    fence_done_ = std::move(done);
    send();
}

bool progress_writer::put(std::string key, std::string value, std::function<void()> committed) {
    stored_record record{std::move(key), std::move(value), 0};
    if (!limits_.allow(record)) {
        log_refused_record(record);
        return false;
    }
    queue(std::move(record), std::move(committed));
    return true;
}

void progress_writer::remove(std::string key) {
    queue({std::move(key), std::nullopt, 0}, nullptr);
}

void progress_writer::queue(stored_record record, std::function<void()> committed) {
    queued_.push_back({std::move(record), std::move(committed), {}});
}

void progress_writer::barrier(std::function<void()> committed) {
    if (!queued_.empty())
        return queued_.back().barriers.push_back(std::move(committed));
    if (!batch_.empty())
        return batch_.back().barriers.push_back(std::move(committed));
    committed();
}

void progress_writer::tick() {
    if (stopped_)
        return;
    if (has_append_in_flight()) {
        if (may_resend())
            append_batch();
        return;
    }
    if (time_.now() < next_send_at_)
        return;
    if (!batch_.empty() || fence_done_ || !queued_.empty())
        send();
}

bool progress_writer::may_resend() const {
    return appends_in_flight_ < max_appends_in_flight && time_.now() >= next_resend_at_;
}

void progress_writer::send() {
    if (batch_.empty() && !fence_done_)
        fill_batch();
    next_send_at_ = time_.now() + batch_period;
    append_batch();
}

void progress_writer::fill_batch() {
    std::size_t bytes = 0;
    while (!queued_.empty() && batch_.size() < max_batch_records && bytes < max_batch_bytes) {
        bytes += record_bytes(queued_.front().record);
        batch_.push_back(std::move(queued_.front()));
        queued_.pop_front();
    }
    ++sequence_;
}

void progress_writer::append_batch() {
    std::vector<stored_record> records;
    for (const queued_record& pending : batch_)
        records.push_back(pending.record);
    append_guard guard;
    guard.epoch = epoch_;
    guard.sequence = sequence_;
    const instant sent_at = time_.now();
    next_resend_at_ = sent_at + std::max(min_resend_delay, last_append_duration_ * resend_factor);
    ++appends_in_flight_;
    log_.append(cell_stream::progress, records, guard,
                [this, sent_at, batch = batch_number_,
                 weak = std::weak_ptr(alive_)](const append_result& result) {
                    if (weak.expired() || batch != batch_number_)
                        return;
                    if (result.fault != log_fault::silent)
                        last_append_duration_ = time_.now() - sent_at;
                    on_append_result(result);
                });
}

/// Handles the answer to one append. An error or a timeout says nothing about other appends of the
/// same batch, which may still succeed.
void progress_writer::on_append_result(const append_result& result) {
    --appends_in_flight_;
    switch (result.fault) {
    case log_fault::none:
        return commit(result.offset);
    case log_fault::fenced:
    case log_fault::out_of_sequence:
        return handle_superseded();
    case log_fault::rejected:
        return split_rejected_batch();
    default:
        next_send_at_ = time_.now() + retry_period;
    }
}

void progress_writer::commit(std::uint64_t offset) {
    ++batch_number_;
    appends_in_flight_ = 0;
    if (fence_done_) {
        const auto done = std::exchange(fence_done_, nullptr);
        return done(offset);
    }
    std::vector<queued_record> batch = std::exchange(batch_, {});
    for (queued_record& committed : batch) {
        committed.record.offset = offset++;
        applied_(committed.record);
    }
    for (const queued_record& written : batch) {
        if (written.committed)
            written.committed();
        for (const std::function<void()>& call : written.barriers)
            call();
    }
}

/// Handles a batch that the log will never take. Its second half goes back to the queue; the first
/// is sent under the same sequence number, which the log has not used.
void progress_writer::split_rejected_batch() {
    if (batch_.empty()) {
        next_send_at_ = time_.now() + retry_period;
        return;
    }
    ++batch_number_;
    appends_in_flight_ = 0;
    if (batch_.size() == 1)
        return handle_rejected_record();
    const auto middle = batch_.begin() + static_cast<std::ptrdiff_t>(batch_.size() / 2);
    queued_.insert(queued_.begin(), std::make_move_iterator(middle),
                   std::make_move_iterator(batch_.end()));
    batch_.erase(middle, batch_.end());
    append_batch();
}

/// Drops the only record of a batch, unless the handler wants it sent again. All later records
/// would wait for it for ever.
void progress_writer::handle_rejected_record() {
    if (on_rejected_ && !on_rejected_(batch_.front().record)) {
        next_send_at_ = time_.now() + retry_period;
        return;
    }
    --sequence_;
    const queued_record dropped = std::move(batch_.front());
    batch_.clear();
    log_refused_record(dropped.record);
    std::vector<std::function<void()>> barriers = dropped.barriers;
    for (queued_record& behind : queued_)
        std::ranges::move(std::exchange(behind.barriers, {}), std::back_inserter(barriers));
    for (std::function<void()>& call : barriers)
        barrier(std::move(call));
}

void progress_writer::handle_superseded() {
    if (std::exchange(stopped_, true))
        return;
    on_superseded_();
}

} // namespace figwinch
