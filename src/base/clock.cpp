#include "figwinch/base/clock.h"

namespace figwinch {

instant system_clock::now() const {
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time system_clock::wall_now() const {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

wall_time manual_clock::wall_now() const {
    return wall_time(
        std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
}

} // namespace figwinch
