#pragma once

#include "figwinch/base.h"
#include "figwinch/net.h"

#include <string>
#include <vector>

namespace figwinch {

/// A worker as the platform's list shows it. May lag by a second or two.
struct worker_listing {
    worker_id id;
    /// When this life of the worker began, ms since 1970. Another number is another life, which
    /// holds nothing of the earlier one.
    std::uint64_t born_ms = 0;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false;
    /// How much longer the worker is slow after its start.
    duration cold_left{};

    friend bool operator==(const worker_listing&, const worker_listing&) = default;
};

} // namespace figwinch
