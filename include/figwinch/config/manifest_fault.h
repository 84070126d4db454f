#pragma once

#include "figwinch/base.h"

#include <string>

namespace figwinch {

/// One reason why a manifest is refused.
struct manifest_fault {
    result_code code = result_code::manifest_malformed;
    /// Where in the document: "jobs[2].size.memory_mib".
    std::string path;
    /// The value found, and what is allowed, with its unit.
    std::string reason;
    friend bool operator==(const manifest_fault&, const manifest_fault&) = default;
};

/// "402 manifest_out_of_range at workers[0].capacity.memory_mib: ...".
std::string to_string(const manifest_fault& fault);

} // namespace figwinch
