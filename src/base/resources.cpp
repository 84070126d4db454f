#include "figwinch/base/resources.h"

namespace figwinch {

resources& resources::operator+=(const resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
}

resources operator+(resources left, const resources& right) {
    return left += right;
}

resources operator-(resources left, const resources& right) {
    return left -= right;
}

bool fits(const resources& size, const resources& room) {
    return size.cpu_millis <= room.cpu_millis && size.memory_mib <= room.memory_mib &&
           size.accelerators <= room.accelerators;
}

bool any_negative(const resources& value) {
    return value.cpu_millis < 0 || value.memory_mib < 0 || value.accelerators < 0;
}

std::string to_string(const resources& value) {
    return std::to_string(value.cpu_millis) + "m/" + std::to_string(value.memory_mib) + "MiB/" +
           std::to_string(value.accelerators) + "acc";
}

} // namespace figwinch
