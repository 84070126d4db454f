#pragma once

#include "figwinch/log.h"
#include "tests/log/sim_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// The log of a simulation: records in memory, an outage switch and retention by count.
class sim_log {
public:
    explicit sim_log(const sim_loop& loop) : loop_(loop) {}

    bool is_down = false;
    /// Called with each record as it is appended.
    std::function<void(const stream_name&, const log_record&)> on_append;
    /// Records kept per stream.
    std::size_t retention = 1'000'000;
    /// Records older than this are dropped.
    duration max_age = std::chrono::hours(1'000'000);

    log_offset append(const stream_name& stream, std::string payload) {
        stream_state& state = streams_[stream];
        state.records.push_back({log_offset(state.next), std::move(payload)});
        state.written_at.push_back(loop_.now());
        ++state.next;
        if (on_append)
            on_append(stream, state.records.back());
        expire(state);
        return log_offset(state.next - 1);
    }

    /// What a replica that lags by `lag` answers.
    absl::StatusOr<log_page> read(const stream_name& stream, log_offset from, std::size_t max,
                                  duration lag) {
        stream_state& state = streams_[stream];
        expire(state);
        log_page page;
        page.first_kept = log_offset(state.next - state.records.size());
        if (from < page.first_kept)
            return log_truncated_error(page.first_kept);
        page.next = page.first_kept;
        for (std::size_t i = 0; i < state.records.size(); ++i) {
            if (state.written_at[i] + lag > loop_.now())
                break;
            page.next = state.records[i].offset.next();
            if (state.records[i].offset >= from && page.records.size() < max)
                page.records.push_back(state.records[i]);
        }
        return page;
    }

    const std::vector<log_record>& records(const stream_name& stream) {
        return streams_[stream].records;
    }

private:
    struct stream_state {
        std::uint64_t next = 1;
        std::vector<log_record> records;
        std::vector<instant> written_at;
    };

    void expire(stream_state& state) const {
        const auto is_old = [&] {
            return state.records.size() > retention ||
                   state.written_at.front() + max_age < loop_.now();
        };
        while (!state.records.empty() && is_old()) {
            state.records.erase(state.records.begin());
            state.written_at.erase(state.written_at.begin());
        }
    }

    const sim_loop& loop_;
    std::map<stream_name, stream_state> streams_;
};

/// One process's link to the simulated log, with the faults of that link.
class sim_log_client final : public log_client {
public:
    sim_log_client(sim_loop& loop, sim_log& log) : loop_(loop), log_(log) {}

    /// Nothing gets through: calls end as `log_silent` after the timeout.
    bool is_cut = false;
    /// The next appends take effect, and their acknowledgement is lost.
    int lost_acknowledgements = 0;
    duration one_way = std::chrono::milliseconds(1);
    /// How far behind the log's replica is that this process reads from.
    duration lag{};
    std::uint64_t reads = 0;

    void append(const stream_name& stream, std::string payload, append_callback done) override {
        loop_.after(one_way, [this, stream, payload, done] {
            if (is_cut)
                return silence(done);
            if (log_.is_down)
                return answer<log_offset>(done, make_error(result_code::log_unavailable, "down"));
            const log_offset offset = log_.append(stream, payload);
            if (lost_acknowledgements > 0) {
                --lost_acknowledgements;
                return silence(done);
            }
            answer<log_offset>(done, offset);
        });
    }

    void read(const stream_name& stream, log_offset from, std::size_t max_records,
              read_callback done) override {
        ++reads;
        loop_.after(one_way, [this, stream, from, max_records, done] {
            if (is_cut)
                return silence(done);
            if (log_.is_down)
                return answer<log_page>(done, make_error(result_code::log_unavailable, "down"));
            answer<log_page>(done, log_.read(stream, from, max_records, lag));
        });
    }

private:
    template <class Callback>
    void silence(const Callback& done) {
        loop_.after(std::chrono::seconds(1),
                    [done] { done(make_error(result_code::log_silent, "no answer")); });
    }
    template <class Value, class Callback>
    void answer(const Callback& done, absl::StatusOr<Value> value) {
        loop_.after(one_way, [done, value = std::move(value)] { done(value); });
    }

    sim_loop& loop_;
    sim_log& log_;
};

} // namespace figwinch
