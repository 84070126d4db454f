#include "figwinch/cell/progress_writer.h"

#include <algorithm>
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
constexpr duration least_repeat_after = std::chrono::milliseconds(100);
constexpr int repeat_factor = 4;
// Limits the copies of one batch in flight, so that resends don't overload a log that has become
// slow.
constexpr std::size_t most_on_way = 3;
constexpr std::size_t most_records = 500;
// A batch of this size passes a link of 1 Mbit/s in about one second; later records wait for it.
constexpr std::size_t most_bytes = std::size_t{128} * 1024;

std::size_t size_of(const stored_record& record) {
    return record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

progress_writer::progress_writer(const clock& time, durable_log& log, lease_epoch epoch,
                                 std::function<void(const stored_record&)> applied,
                                 std::function<void()> deposed)
    : time_(time), log_(log), epoch_(epoch), applied_(std::move(applied)),
      deposed_(std::move(deposed)) {}

void progress_writer::fence(std::function<void(std::uint64_t)> done) {
    fenced_ = std::move(done);
    send();
}

void progress_writer::write(stored_record record, std::function<void()> committed) {
    waiting_.push_back({std::move(record), {}});
    if (committed)
        waiting_.back().committed.push_back(std::move(committed));
}

void progress_writer::barrier(std::function<void()> committed) {
    if (!waiting_.empty())
        return waiting_.back().committed.push_back(std::move(committed));
    if (!batch_.empty())
        return batch_.back().committed.push_back(std::move(committed));
    committed();
}

void progress_writer::tick() {
    if (stopped_)
        return;
    if (is_on_its_way()) {
        if (may_repeat())
            append_batch();
        return;
    }
    if (time_.now() < next_send_)
        return;
    if (!batch_.empty() || fenced_ || !waiting_.empty())
        send();
}

bool progress_writer::may_repeat() const {
    return appends_on_way_ < most_on_way && time_.now() >= next_repeat_;
}

void progress_writer::send() {
    if (batch_.empty() && !fenced_)
        take_batch();
    next_send_ = time_.now() + batch_period;
    append_batch();
}

void progress_writer::take_batch() {
    std::size_t bytes = 0;
    while (!waiting_.empty() && batch_.size() < most_records && bytes < most_bytes) {
        bytes += size_of(waiting_.front().record);
        batch_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    ++sequence_;
}

void progress_writer::append_batch() {
    std::vector<stored_record> records;
    for (const entry& waiting : batch_)
        records.push_back(waiting.record);
    append_guard guard;
    guard.epoch = epoch_;
    guard.sequence = sequence_;
    const instant sent_at = time_.now();
    next_repeat_ = sent_at + std::max(least_repeat_after, answer_time_ * repeat_factor);
    ++appends_on_way_;
    log_.append(cell_stream::progress, records, guard,
                [this, sent_at, batch = settled_,
                 weak = std::weak_ptr(alive_)](const append_result& result) {
                    if (weak.expired() || batch != settled_)
                        return;
                    if (result.fault != log_fault::silent)
                        answer_time_ = time_.now() - sent_at;
                    take(result);
                });
}

/// Handles the answer to one append. An error or a timeout says nothing about other appends of the
/// same batch, which may still succeed.
void progress_writer::take(const append_result& result) {
    --appends_on_way_;
    switch (result.fault) {
    case log_fault::none:
        return commit(result.offset);
    case log_fault::fenced:
    case log_fault::out_of_sequence:
        return depose();
    default:
        next_send_ = time_.now() + retry_period;
    }
}

void progress_writer::commit(std::uint64_t offset) {
    ++settled_;
    appends_on_way_ = 0;
    if (fenced_) {
        const auto done = std::exchange(fenced_, nullptr);
        return done(offset);
    }
    std::vector<entry> batch = std::exchange(batch_, {});
    for (entry& committed : batch) {
        committed.record.offset = offset++;
        applied_(committed.record);
    }
    for (const entry& written : batch)
        for (const std::function<void()>& call : written.committed)
            call();
}

void progress_writer::depose() {
    if (std::exchange(stopped_, true))
        return;
    deposed_();
}

} // namespace figwinch
