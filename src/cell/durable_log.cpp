#include "figwinch/cell/durable_log.h"

#include <array>

namespace figwinch {

const char* to_string(cell_stream stream) {
    static constexpr std::array names = {"intake", "progress", "reigns", "operators", "workers"};
    return names[static_cast<std::size_t>(stream)];
}

const char* to_string(log_fault fault) {
    static constexpr std::array names = {"none",   "unavailable",     "silent",  "moved",
                                         "fenced", "out_of_sequence", "expired", "rejected"};
    return names[static_cast<std::size_t>(fault)];
}

} // namespace figwinch
