#pragma once

#include "figwinch/base.h"

#include <absl/strings/str_cat.h>

#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace figwinch::experiment {

/// A number that a file or a variant may set: its name, where it goes, unit and range. Names of
/// times end in their unit, `_ms` or `_s`.
template <class Owner>
struct setting_key {
    std::string_view name;
    std::variant<double Owner::*, std::int64_t Owner::*, duration Owner::*> member;
    double low = 0;
    double high = 0;
    std::string_view unit;

    std::string range() const { return absl::StrCat(low, " to ", high, " ", std::string(unit)); }
    /// Returns whether `value` is in range, and whole where it has to be.
    bool assign(Owner& to, double value) const {
        if (!(low <= value && value <= high))
            return false;
        if (const auto* const real = std::get_if<double Owner::*>(&member)) {
            to.*(*real) = value;
            return true;
        }
        if (const auto* const whole = std::get_if<std::int64_t Owner::*>(&member)) {
            to.*(*whole) = static_cast<std::int64_t>(value);
            return std::trunc(value) == value;
        }
        const double us_per_unit = name.ends_with("_ms") ? 1e3 : 1e6;
        to.*(std::get<duration Owner::*>(member)) = duration(std::llround(value * us_per_unit));
        return true;
    }
};

} // namespace figwinch::experiment
