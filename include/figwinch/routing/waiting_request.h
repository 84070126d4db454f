#pragma once

#include "figwinch/base.h"
#include "figwinch/config.h"

namespace figwinch {

/// A request that waits for a slot.
struct waiting_request {
    /// Chosen by the entry, unique in it.
    std::uint64_t number = 0;
    customer_id customer;
    service_id service;
    work_class request_class = work_class::normal;
    /// Weight of the customer's fair share.
    int share = 1;
    instant since{};
    instant deadline{};
};

/// How fast slots for one service become free.
struct service_pace {
    int slots = 0;
    /// How long one request holds a slot, on average.
    duration work = std::chrono::milliseconds(20);
};

} // namespace figwinch
