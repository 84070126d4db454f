#pragma once

#include "tools/experiment/load_spec.h"

#include "figwinch/cell/cell_settings.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace figwinch::experiment {

/// What a day is played with: one side of a comparison.
struct setup {
    std::string name;
    load_spec load;
    cell_settings settings;
};

/// A load with settings of the cell and of the load changed, as `name=value,name=value` says. The
/// error names setting, value and range.
absl::StatusOr<setup> make_setup(std::string name, const load_spec& load, std::string_view changes);

} // namespace figwinch::experiment
