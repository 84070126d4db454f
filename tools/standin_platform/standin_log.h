#pragma once

#include "figwinch/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace figwinch {

/// The streams of the stand-in's log, in memory, kept by number of records.
class standin_log {
public:
    /// Applies to every stream, now and later.
    void keep(std::size_t records);

    log_offset append(const stream_name& stream, std::string payload);
    /// At most `max_records` and `max_page_bytes`, but at least one record when there is one. An
    /// offset below `first_kept` yields no records.
    log_page read(const stream_name& stream, log_offset from, std::size_t max_records) const;

    /// Records appended since the start, per stream.
    const std::map<stream_name, std::uint64_t>& appends() const { return appends_; }

private:
    struct stream_state {
        std::uint64_t next = 1;
        std::deque<std::string> payloads;
    };

    void expire(stream_state& state) const;

    std::size_t kept_ = 1'000'000;
    std::map<stream_name, stream_state> streams_;
    std::map<stream_name, std::uint64_t> appends_;
};

} // namespace figwinch
