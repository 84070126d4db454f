#pragma once

#include "config.pb.h"
#include "ctl/change_result.h"
#include "ctl/exit_code.h"
#include "figwinch/config.h"

#include <string>
#include <vector>

namespace figwinch {

/// The form of what figwinchctl prints on standard output.
enum class report_form { text, json };

/// What a command prints, and how it ends.
struct ctl_report {
    exit_code exit = exit_code::done;
    std::string output;
};

ctl_report report_faults(const std::vector<manifest_fault>& faults, report_form form);
ctl_report report_change(const change_result& result, report_form form);
ctl_report report_state(const manifest& config, config_version version, report_form form);
ctl_report report_difference(const pb::ManifestChange& change, report_form form);
ctl_report report_history(const std::vector<pb::AuditRecord>& records, report_form form);
/// The log could not be read.
ctl_report report_unavailable(const std::string& reason, report_form form);

} // namespace figwinch
