#include "figwinch/observe/event_logger.h"

#include "observe/json_line.h"
#include "observe/line_sink.h"

#include <spdlog/fmt/chrono.h>
#include <spdlog/logger.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>

namespace figwinch {
namespace {

/// The process's one logger and what every line of it says.
struct process_log {
    std::shared_ptr<spdlog::logger> logger;
    std::shared_ptr<line_sink> sink;
    std::string program;
    std::string node;
    log_level level = log_level::info;
};

process_log& shared_log() {
    static process_log log;
    return log;
}

constexpr std::array level_names = {"debug", "info", "warn", "error"};
constexpr std::array spdlog_levels = {spdlog::level::debug, spdlog::level::info,
                                      spdlog::level::warn, spdlog::level::err};

std::string utc_now() {
    const auto now =
        std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                       (now - seconds).count());
}

} // namespace

void start_logging(std::string_view program, std::string_view node, log_level level) {
    process_log& log = shared_log();
    log.sink = std::make_shared<line_sink>(STDOUT_FILENO);
    log.logger = std::make_shared<spdlog::logger>("figwinch", log.sink);
    log.program = program;
    log.node = node;
    change_log_level(level);
}

void change_log_level(log_level level) {
    process_log& log = shared_log();
    log.level = level;
    if (log.logger)
        log.logger->set_level(spdlog_levels[static_cast<std::size_t>(level)]);
}

std::uint64_t log_lines_lost() {
    const process_log& log = shared_log();
    return log.sink ? log.sink->lost() : 0;
}

log_level current_log_level() {
    return shared_log().level;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    const process_log& log = shared_log();
    const auto index = static_cast<std::size_t>(level);
    if (!log.logger || !log.logger->should_log(spdlog_levels[index]))
        return;
    json_line line;
    line.add("time", utc_now());
    line.add("level", level_names[index]);
    line.add("program", log.program);
    line.add("node", log.node);
    line.add("event", event);
    for (const log_field& field : fields)
        line.add(field);
    log.logger->log(spdlog_levels[index], line.str());
}

} // namespace figwinch
