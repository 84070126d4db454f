#include "figwinch/cell/durable_log.h"

#include <array>

namespace figwinch {

const char* to_string(cell_stream stream) {
    static constexpr std::array names = {"intake", "progress", "reigns", "operators", "workers"};
    return names[static_cast<std::size_t>(stream)];
}

} // namespace figwinch
