#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace figwinch {

enum class log_level { debug, info, warn, error };

/// One field of a log line.
struct log_field {
    std::string_view key;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Starts JSON-line logging of this process to standard output. Each line has `time`, `level`,
/// `program`, `node` and `event`, then the fields of the event. Logging never waits for a reader:
/// lines that a full pipe doesn't take, or that are longer than a pipe takes whole (4,096 bytes),
/// are lost and counted.
void start_logging(std::string_view program, std::string_view node, log_level level);
/// Levels may change while the program runs (SIGUSR1 and SIGUSR2 step them).
void change_log_level(log_level level);
log_level current_log_level();
/// Lines lost since logging began, for a metric.
std::uint64_t log_lines_lost();

/// Writes one line. `event` is a stable name listed in docs/OPERATIONS.md, like "request_refused".
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace figwinch
