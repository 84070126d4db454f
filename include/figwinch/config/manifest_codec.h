#pragma once

#include "figwinch/config/manifest.h"
#include "figwinch/config/manifest_fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// A manifest that passed every check, or all the reasons why it did not.
struct checked_manifest {
    std::optional<manifest> value;
    std::vector<manifest_fault> faults;
};

/// Reads the protobuf JSON form (proto/config.proto, message Manifest) strictly. Refused whole:
/// unknown fields, wrong types or units, values out of range, names that are not declared or are
/// declared twice, and jobs that fit no worker. Lists every fault, not only the first.
checked_manifest parse_manifest(std::string_view json);

/// The same form, with entries in order of name and the field names of the schema.
std::string to_json(const manifest& config);

} // namespace figwinch
