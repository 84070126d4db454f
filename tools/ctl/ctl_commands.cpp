#include "ctl/ctl_commands.h"

#include "config/manifest_message.h"
#include "ctl/audit_reader.h"
#include "ctl/cell_page.h"
#include "ctl/change_publisher.h"
#include "ctl/config_recovery.h"
#include "ctl/log_session.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <random>
#include <sstream>

namespace figwinch {
namespace {

/// A drain means the same from any version, so that it is made anew after losing a race.
constexpr int drain_attempts = 5;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ctl_report unreadable(const std::string& path) {
    return {exit_code::usage, "error 900: " + path + " can't be read\n"};
}

record_id random_id() {
    std::random_device source;
    std::ostringstream text;
    text << std::hex;
    for (int i = 0; i < 4; ++i)
        text << source();
    return record_id(text.str());
}

config_follower_settings follower_settings(const ctl_settings& settings) {
    config_follower_settings result;
    result.self = settings.self;
    result.poll_period = std::chrono::milliseconds(100);
    return result;
}

} // namespace

std::optional<ctl_report> ctl_commands::run(const std::string& command,
                                            const std::vector<std::string>& arguments) {
    static constexpr std::array table = {
        command_row{"cell", true, &ctl_commands::cell},
        command_row{"check", true, &ctl_commands::check},
        command_row{"diff", true, &ctl_commands::diff},
        command_row{"drain", true, &ctl_commands::drain},
        command_row{"history", false, &ctl_commands::history},
        command_row{"publish", true, &ctl_commands::publish},
        command_row{"recover", true, &ctl_commands::recover},
        command_row{"restore", true, &ctl_commands::restore},
        command_row{"state", false, &ctl_commands::state},
    };
    const auto row = std::ranges::find(table, command, &command_row::name);
    if (row == table.end() || arguments.size() != (row->takes_argument ? 1U : 0U))
        return std::nullopt;
    return (this->*(row->call))(arguments.empty() ? "" : arguments.front());
}

ctl_report ctl_commands::cell(const std::string& host) {
    const std::optional<endpoint> where = parse_endpoint(host);
    if (!where)
        return {exit_code::usage, "error 900: " + host + " is no IP number and port\n"};
    return show_cell(*where, settings_.limit, settings_.form);
}

ctl_report ctl_commands::check(const std::string& file) {
    const std::optional<std::string> text = read_file(file);
    if (!text.has_value())
        return unreadable(file);
    return report_faults(parse_manifest(*text).faults, settings_.form);
}

ctl_report ctl_commands::publish(const std::string& file) {
    const std::optional<std::string> text = read_file(file);
    if (!text.has_value())
        return unreadable(file);
    const checked_manifest wanted = parse_manifest(*text);
    if (!wanted.value.has_value())
        return report_faults(wanted.faults, settings_.form);
    change_request request;
    request.base = settings_.base;
    request.edit = [&wanted](const manifest&) { return *wanted.value; };
    return change(std::move(request));
}

ctl_report ctl_commands::recover(const std::string& file) {
    const std::optional<std::string> text = read_file(file);
    if (!text.has_value())
        return unreadable(file);
    if (!settings_.base.has_value())
        return {exit_code::usage, "error 900: --base_version: recover needs the last version\n"};
    checked_manifest wanted = parse_manifest(*text);
    if (!wanted.value.has_value())
        return report_faults(wanted.faults, settings_.form);
    log_session session(settings_.log, settings_.self);
    change_result result;
    bool is_done = false;
    config_recovery recovery(session.log(), session.time(), follower_settings(settings_),
                             {settings_.author, settings_.comment, random_id(), *settings_.base,
                              std::move(*wanted.value)},
                             settings_.limit, [&](const change_result& end) {
                                 result = end;
                                 is_done = true;
                             });
    session.run(2 * settings_.limit, [&](instant now) {
        recovery.tick(now);
        return is_done;
    });
    return report_change(result, settings_.form);
}

ctl_report ctl_commands::drain(const std::string& data_centre) {
    return set_in_service(data_centre, false);
}

ctl_report ctl_commands::restore(const std::string& data_centre) {
    return set_in_service(data_centre, true);
}

ctl_report ctl_commands::set_in_service(const std::string& data_centre, bool in_service) {
    change_request request;
    request.base = settings_.base;
    request.attempts = drain_attempts;
    request.edit = [&](const manifest& current) -> absl::StatusOr<manifest> {
        manifest wanted = current;
        const auto entry = std::ranges::find(wanted.data_centres, data_centre_id(data_centre),
                                             &data_centre_spec::name);
        if (entry == wanted.data_centres.end())
            return make_error(result_code::manifest_dangling_name,
                              "no data centre \"" + data_centre + "\" is declared");
        entry->in_service = in_service;
        return wanted;
    };
    return change(std::move(request));
}

ctl_report ctl_commands::change(change_request request) {
    request.author = settings_.author;
    request.comment = settings_.comment;
    log_session session(settings_.log, settings_.self);
    change_result result;
    bool is_done = false;
    change_publisher publisher(session.log(), session.time(), follower_settings(settings_),
                               std::move(request), random_id, settings_.limit,
                               [&](const change_result& end) {
                                   result = end;
                                   is_done = true;
                               });
    // The publisher keeps to the limit itself; the second bound only ends a loop that is stuck.
    session.run(2 * settings_.limit, [&](instant now) {
        publisher.tick(now);
        return is_done;
    });
    return report_change(result, settings_.form);
}

ctl_report ctl_commands::diff(const std::string& file) {
    const std::optional<std::string> text = read_file(file);
    if (!text.has_value())
        return unreadable(file);
    const checked_manifest wanted = parse_manifest(*text);
    if (!wanted.value.has_value())
        return report_faults(wanted.faults, settings_.form);
    return with_current([&](const manifest& current, config_version) {
        return report_difference(change_between(current, *wanted.value), settings_.form);
    });
}

ctl_report ctl_commands::history(const std::string& /*none*/) {
    log_session session(settings_.log, settings_.self);
    audit_reader reader(session.log());
    if (!session.run(settings_.limit, [&](instant) { return reader.tick(); }))
        return report_unavailable(std::string(reader.last_error().message()), settings_.form);
    return report_history(reader.records(), settings_.form);
}

ctl_report ctl_commands::state(const std::string& /*none*/) {
    return with_current([&](const manifest& current, config_version version) {
        return report_state(current, version, settings_.form);
    });
}

ctl_report ctl_commands::with_current(
    const std::function<ctl_report(const manifest&, config_version)>& report) {
    log_session session(settings_.log, settings_.self);
    config_follower follower(session.log(), session.time(), follower_settings(settings_), nullptr);
    const bool is_read = session.run(settings_.limit, [&](instant now) {
        follower.tick(now);
        return follower.state() == recovery_state::following;
    });
    if (!is_read)
        return report_unavailable(follower.lacks(), settings_.form);
    const manifest current = follower.current() ? *follower.current() : manifest();
    return report(current, follower.version());
}

} // namespace figwinch
