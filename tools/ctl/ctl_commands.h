#pragma once

#include "ctl/change_request.h"
#include "ctl/ctl_report.h"
#include "figwinch/net.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Settings of one run of figwinchctl.
struct ctl_settings {
    endpoint log;
    node_id self;
    duration limit = std::chrono::seconds(10);
    std::string author;
    std::string comment;
    std::optional<config_version> base;
    report_form form = report_form::text;
};

/// The commands of figwinchctl. Owned by `main`.
class ctl_commands {
public:
    explicit ctl_commands(ctl_settings settings) : settings_(std::move(settings)) {}

    /// Empty when there is no such command or it takes another number of arguments.
    std::optional<ctl_report> run(const std::string& command,
                                  const std::vector<std::string>& arguments);

private:
    using command_call = ctl_report (ctl_commands::*)(const std::string& argument);
    struct command_row {
        std::string_view name;
        bool takes_argument;
        command_call call;
    };

    ctl_report cell(const std::string& host);
    ctl_report check(const std::string& file);
    ctl_report publish(const std::string& file);
    ctl_report drain(const std::string& data_centre);
    ctl_report recover(const std::string& file);
    ctl_report restore(const std::string& data_centre);
    ctl_report diff(const std::string& file);
    ctl_report history(const std::string& none);
    ctl_report state(const std::string& none);

    ctl_report set_in_service(const std::string& data_centre, bool in_service);
    ctl_report change(change_request request);
    /// Reads the configuration in force from the log first.
    ctl_report
    with_current(const std::function<ctl_report(const manifest&, config_version)>& report);

    ctl_settings settings_;
};

} // namespace figwinch
