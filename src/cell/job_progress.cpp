#include "figwinch/cell/job_progress.h"

#include <array>

namespace figwinch {

const char* to_string(job_phase phase) {
    static constexpr std::array names = {"open", "succeeded", "failed", "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

} // namespace figwinch
