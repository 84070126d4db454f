#pragma once

#include "tools/experiment/load_spec.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace figwinch::experiment {

/// Reads a load from a JSON file. The error names file, key, value and range of the first fault.
absl::StatusOr<load_spec> read_load_file(const std::string& file);
/// The same of a file's text; `file` is for the error.
absl::StatusOr<load_spec> read_load(std::string_view text, const std::string& file);

/// What one key doesn't tell: that keys fit together.
absl::Status check_load(const load_spec& load, const std::string& file);

} // namespace figwinch::experiment
