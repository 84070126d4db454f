#pragma once

#include "figwinch/cell.h"
#include "figwinch/simulation/sim_time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figwinch::sim {

/// The platform's store as its page describes it: streams with offsets, compare-and-append, writers
/// fenced by epoch, the newest record of each key kept for good. Shared by all hosts of a test.
class sim_store {
public:
    struct stream {
        std::vector<stored_record> records;
        std::uint64_t first = 0;
        std::map<std::string, stored_record> newest;
        std::uint64_t writer_epoch = 0;
        std::uint64_t writer_sequence = 0;
        append_result last_answer;
        std::uint64_t end() const { return first + records.size(); }
    };

    /// What one append to a stream takes. Appends wait for one another, and one that would wait
    /// for over `most_queued` is refused.
    std::map<cell_stream, duration> service;
    static constexpr duration most_queued = std::chrono::seconds(2);

    /// When an append that arrives now is done, counted from now. Nothing: it is refused.
    std::optional<duration> admit(cell_stream name, instant now) {
        instant& free = free_at_[name];
        if (free - now > most_queued)
            return std::nullopt;
        free = std::max(free, now) + service[name];
        return free - now;
    }

    /// What all reads together bring a second, in bytes; nothing: no bound.
    std::optional<double> read_rate;
    /// Bytes that reads have asked for.
    std::uint64_t bytes_read = 0;

    /// What an answer of `records` waits for those before it and takes itself. One that its reader
    /// has given up takes as long.
    duration admit_read(const std::vector<stored_record>& records, instant now) {
        constexpr std::size_t record_overhead = 16;
        std::size_t bytes = 0;
        for (const stored_record& record : records)
            bytes +=
                record_overhead + record.key.size() + (record.value ? record.value->size() : 0);
        bytes_read += bytes;
        if (!read_rate)
            return duration::zero();
        const std::chrono::duration<double> takes(static_cast<double>(bytes) / *read_rate);
        read_free_at_ = std::max(read_free_at_, now) + std::chrono::duration_cast<duration>(takes);
        return read_free_at_ - now;
    }

    /// Size limits of one record with its key, and of the records of one append.
    std::size_t max_record_bytes = cell_settings{}.max_record_bytes;
    std::size_t max_append_bytes = std::size_t{2} * 1024 * 1024;
    /// Appends that were rejected because they exceed a limit.
    std::size_t rejected = 0;

    stream& of(cell_stream name) { return streams_[name]; }

    append_result append(cell_stream name, std::vector<stored_record> records,
                         const append_guard& guard) {
        stream& to = streams_[name];
        append_result answer;
        answer.end_offset = to.end();
        if (guard.expected_end && *guard.expected_end != to.end()) {
            answer.fault = log_fault::moved;
            return answer;
        }
        if (exceeds_limits(name, records)) {
            ++rejected;
            answer.fault = log_fault::rejected;
            return answer;
        }
        if (guard.epoch && !admit_writer(to, guard, answer))
            return answer;
        answer.offset = to.end();
        const bool keyed = name != cell_stream::reigns;
        for (stored_record& record : records) {
            record.offset = to.end();
            // The store can't tell a keyed record with an empty value from a deletion.
            if (keyed && record.value && record.value->empty())
                record.value.reset();
            if (record.value)
                to.newest[record.key] = record;
            else
                to.newest.erase(record.key);
            to.records.push_back(std::move(record));
        }
        answer.end_offset = to.end();
        to.last_answer = answer;
        return answer;
    }
    /// Forgets the history; the newest record of each key stays.
    void compact() {
        for (auto& [name, kept] : streams_)
            if (name != cell_stream::reigns)
                compact(name);
    }
    /// The same for one stream, which may be the election's.
    void compact(cell_stream name) {
        stream& kept = of(name);
        kept.first = kept.end();
        kept.records.clear();
    }

private:
    /// The store appends nothing of a call that exceeds a limit.
    bool exceeds_limits(cell_stream name, const std::vector<stored_record>& records) const {
        constexpr std::size_t length_bytes = 4;
        std::size_t sum = 0;
        for (const stored_record& record : records) {
            const std::size_t bytes = name == cell_stream::reigns ? record.value.value_or("").size()
                                                                  : record_bytes(record);
            if (bytes > max_record_bytes)
                return true;
            sum += length_bytes + bytes;
        }
        return sum > max_append_bytes;
    }
    static bool admit_writer(stream& to, const append_guard& guard, append_result& answer) {
        const std::uint64_t epoch = guard.epoch->value();
        if (epoch < to.writer_epoch) {
            answer.fault = log_fault::fenced;
            return false;
        }
        if (epoch > to.writer_epoch) {
            to.writer_epoch = epoch;
            to.writer_sequence = guard.sequence;
            return true;
        }
        if (guard.sequence == to.writer_sequence) {
            answer = to.last_answer;
            return false;
        }
        if (guard.sequence != to.writer_sequence + 1) {
            answer.fault = log_fault::out_of_sequence;
            return false;
        }
        to.writer_sequence = guard.sequence;
        return true;
    }

    std::map<cell_stream, stream> streams_;
    std::map<cell_stream, instant> free_at_;
    instant read_free_at_{};
};

/// One host's way to the store, which a test can block, slow or make lossy.
class sim_log final : public durable_log {
public:
    enum class way { open, refused, silent };

    sim_log(sim_time& time, sim_store& store, std::function<double()> random)
        : time_(time), store_(store), random_(std::move(random)) {}

    way state = way::open;
    /// A stream whose appends get no answer and aren't done.
    std::optional<cell_stream> stuck;
    /// A stream of which reads get no answer.
    std::optional<cell_stream> unreadable;
    /// Of so many pages of newest records one gets no answer; 0: all do.
    int lost_page_of = 0;
    /// Share of the appends that are done and not answered.
    double lost_answers = 0;
    duration delay = std::chrono::milliseconds(4);
    /// An append without an answer for so long is given up, and done all the same.
    std::optional<duration> patience;
    std::size_t appends = 0;
    /// Records that one read answers with.
    std::size_t most_read = 100'000;

    void append(cell_stream stream, const std::vector<stored_record>& records,
                const append_guard& guard, std::function<void(append_result)> done) override {
        append_result fault;
        if (stuck == stream)
            return answer_silent(fault, done);
        if (blocked(fault, done))
            return;
        ++appends;
        const std::optional<duration> queued = store_.admit(stream, time_.now());
        if (!queued) {
            fault.fault = log_fault::unavailable;
            return time_.after(delay,
                               [=, alive = std::weak_ptr(alive_)] { deliver(alive, done, fault); });
        }
        const duration takes = delay + *queued;
        if (patience && takes > *patience)
            return append_late(stream, records, guard, takes, done);
        const bool lost = random_() < lost_answers;
        // It is done even when its host is gone by then.
        time_.after(takes, [&store = store_, &time = time_, alive = std::weak_ptr(alive_), stream,
                            records, guard, lost, done = std::move(done)] {
            const append_result answer = store.append(stream, records, guard);
            if (!lost)
                return deliver(alive, done, answer);
            append_result silent;
            silent.fault = log_fault::silent;
            time.after(std::chrono::milliseconds(800), [=] { deliver(alive, done, silent); });
        });
    }
    void read(cell_stream stream, std::uint64_t from, duration wait,
              std::function<void(read_result)> done) override {
        read_result fault;
        if (unreadable == stream)
            return answer_silent(fault, done);
        if (blocked(fault, done))
            return;
        time_.after(delay, [this, alive = std::weak_ptr(alive_), stream, from,
                            end = time_.now() + wait, done = std::move(done)] {
            if (!alive.expired())
                poll(alive, stream, from, end, done);
        });
    }
    void read_newest(cell_stream stream, const std::string& after_key,
                     std::function<void(newest_result)> done) override {
        newest_result fault;
        if (unreadable == stream || (lost_page_of > 0 && ++pages_asked_ % lost_page_of == 0))
            return answer_silent(fault, done);
        if (blocked(fault, done))
            return;
        time_.after(delay, [this, alive = std::weak_ptr(alive_), stream, after_key,
                            done = std::move(done)] {
            if (alive.expired())
                return;
            newest_result page;
            sim_store::stream& from = store_.of(stream);
            page.end_offset = from.end();
            constexpr std::size_t page_size = 20;
            for (auto at = from.newest.upper_bound(after_key); at != from.newest.end(); ++at) {
                if (page.records.size() == page_size) {
                    page.next_key = page.records.back().key;
                    break;
                }
                page.records.push_back(at->second);
            }
            answer_read(stream, page, done);
        });
    }
    void set_read_timeout(cell_stream stream, duration longest_silence) override {
        read_silence_[stream] = longest_silence;
    }
    duration max_append_wait() const override { return sim_store::most_queued; }
    /// The host is gone: nothing is answered any more.
    void kill() { alive_.reset(); }

private:
    void append_late(cell_stream stream, const std::vector<stored_record>& records,
                     const append_guard& guard, duration takes,
                     const std::function<void(append_result)>& done) {
        append_result silent;
        silent.fault = log_fault::silent;
        time_.after(*patience,
                    [=, alive = std::weak_ptr(alive_)] { deliver(alive, done, silent); });
        time_.after(takes, [=, &store = store_] { store.append(stream, records, guard); });
    }
    template <class Result, class Done>
    static void deliver(const std::weak_ptr<bool>& alive, const Done& done, const Result& result) {
        if (!alive.expired())
            done(result);
    }
    template <class Result, class Done>
    void answer_silent(Result& result, const Done& done) {
        result.fault = log_fault::silent;
        time_.after(std::chrono::milliseconds(800), [alive = std::weak_ptr(alive_), result, done] {
            deliver(alive, done, result);
        });
    }
    template <class Result, class Done>
    bool blocked(Result& result, const Done& done) {
        if (state == way::open)
            return false;
        const bool refused = state == way::refused;
        result.fault = refused ? log_fault::unavailable : log_fault::silent;
        time_.after(
            refused ? delay : duration(std::chrono::milliseconds(800)),
            [alive = std::weak_ptr(alive_), result, done] { deliver(alive, done, result); });
        return true;
    }
    void poll(const std::weak_ptr<bool>& alive, cell_stream stream, std::uint64_t from, instant end,
              const std::function<void(read_result)>& done) {
        if (alive.expired())
            return;
        const sim_store::stream& read_from = store_.of(stream);
        read_result answer;
        answer.end_offset = read_from.end();
        answer.start_offset = read_from.first;
        if (from < read_from.first) {
            answer.fault = log_fault::expired;
            return done(answer);
        }
        for (std::uint64_t at = from; at < std::min(read_from.end(), from + most_read); ++at)
            answer.records.push_back(read_from.records[at - read_from.first]);
        if (answer.records.empty() && time_.now() < end)
            return time_.after(std::chrono::milliseconds(10), [=, this] {
                if (!alive.expired())
                    poll(alive, stream, from, end, done);
            });
        // What waited while the way was blocked is lost with its connection.
        if (state != way::open)
            answer = read_result{log_fault::silent, {}, 0, 0};
        answer_read(stream, answer, done);
    }
    template <class Result, class Done>
    void answer_read(cell_stream stream, const Result& result, const Done& done) {
        constexpr duration least_silence = std::chrono::milliseconds(500);
        const duration longest_silence = std::max(least_silence, read_silence_[stream]);
        const duration takes = store_.admit_read(result.records, time_.now());
        if (takes <= duration::zero())
            return done(result);
        Result answer = result;
        if (takes > longest_silence) {
            answer = {};
            answer.fault = log_fault::silent;
        }
        time_.after(std::min(takes, longest_silence), [alive = std::weak_ptr(alive_), done,
                                                       answer] { deliver(alive, done, answer); });
    }

    sim_time& time_;
    sim_store& store_;
    std::function<double()> random_;
    std::map<cell_stream, duration> read_silence_;
    int pages_asked_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
