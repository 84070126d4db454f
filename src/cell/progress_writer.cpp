#include "figwinch/cell/progress_writer.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

// One append costs the platform as much with one record as with fifty. At 165 ends a second a
// batch every 25 ms gathers four, and callers see a job's end 12 ms later on average.
constexpr duration batch_period = std::chrono::milliseconds(25);
constexpr duration retry_period = std::chrono::milliseconds(150);
constexpr std::size_t most_records = 500;
// Passes a link of 1 Mbit/s in a second: what follows waits for it.
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
    if (in_flight_ || stopped_ || time_.now() < next_send_)
        return;
    if (!batch_.empty() || fenced_ || !waiting_.empty())
        send();
}

void progress_writer::send() {
    if (batch_.empty() && !fenced_) {
        std::size_t bytes = 0;
        while (!waiting_.empty() && batch_.size() < most_records && bytes < most_bytes) {
            bytes += size_of(waiting_.front().record);
            batch_.push_back(std::move(waiting_.front()));
            waiting_.pop_front();
        }
        ++sequence_;
    }
    std::vector<stored_record> records;
    for (const entry& waiting : batch_)
        records.push_back(waiting.record);
    append_guard guard;
    guard.epoch = epoch_;
    guard.sequence = sequence_;
    in_flight_ = true;
    next_send_ = time_.now() + batch_period;
    log_.append(cell_stream::progress, records, guard,
                [this, weak = std::weak_ptr(alive_)](const append_result& result) {
                    if (!weak.expired())
                        take(result);
                });
}

void progress_writer::take(const append_result& result) {
    in_flight_ = false;
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
