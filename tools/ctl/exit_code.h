#pragma once

namespace figwinch {

/// How figwinchctl ends; docs/CONFIGURATION.md is the table for people.
enum class exit_code : int {
    done = 0,
    /// The manifest or change is invalid; every fault was printed.
    invalid = 1,
    /// Flags, arguments or files; nothing was asked of the log.
    usage = 2,
    /// Another change came first; it was named.
    lost_race = 3,
    /// The log can't be used; nothing was published.
    unavailable = 4,
    /// The log went silent after the record was sent; it may come into force.
    unknown = 5,
    /// `diff` found differences.
    differs = 6,
};

} // namespace figwinch
