#include "figwinch/cell/worker_orders.h"

#include <array>

namespace figwinch {

const char* to_string(order_outcome outcome) {
    static constexpr std::array names = {"done",        "superseded", "too_late",   "no_room",
                                         "not_advised", "refused",    "other_life", "not_sent",
                                         "unknown",     "dropped"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace figwinch
