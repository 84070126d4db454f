#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace figwinch {

/// What a worker holds or a task takes. Units: thousandths of a processor core, mebibytes, devices.
struct resources {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;

    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    friend bool operator==(const resources&, const resources&) = default;
};

resources operator+(resources left, const resources& right);
resources operator-(resources left, const resources& right);

/// Whether `size` fits into `room` in each of the three dimensions.
bool fits(const resources& size, const resources& room);
/// Whether any dimension is below zero.
bool any_negative(const resources& value);
/// "2000m/4096MiB/1acc", for logs and refusals.
std::string to_string(const resources& value);

} // namespace figwinch
