#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string_view>

namespace figwinch {

/// Writes log lines to a descriptor and never waits for its reader. A reader that has stopped (a
/// frozen collector, a terminal on hold) would otherwise stop a process whose log goes into a pipe:
/// leases would run out because nobody reads the log. Lines that find no room are dropped and
/// counted; a line is written whole or not at all. Used by one thread.
class line_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// `descriptor` stays the caller's.
    explicit line_sink(int descriptor);

    std::uint64_t lost() const { return lost_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

private:
    bool has_room() const;
    bool write_whole(std::string_view line) const;

    int descriptor_;
    /// What the descriptor leads to can fill up; a file can't.
    bool may_block_;
    std::uint64_t lost_ = 0;
};

} // namespace figwinch
