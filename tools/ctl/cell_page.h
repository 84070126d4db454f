#pragma once

#include "ctl/ctl_report.h"
#include "figwinch/net.h"

namespace figwinch {

/// Asks one host of a cell for its status, and shows it: itself and, on the coordinator, workers
/// and open jobs with what each waits for. Another host is named to ask when this one doesn't
/// coordinate.
ctl_report show_cell(const endpoint& host, duration limit, report_form form);
/// The page for people. Nothing when the text is no status of a cell.
std::optional<std::string> format_cell(const std::string& json);

} // namespace figwinch
