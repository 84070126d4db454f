#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// A host's word that it can pass a coordinator's orders on to workers of its data centre.
struct link_offer {
    incarnation_id incarnation;
    std::string bus_address;
    data_centre_id data_centre;
    /// Workers whose calls it can make.
    std::uint32_t carries = 0;
    /// It is about to stop.
    bool leaving = false;
};

/// Workers whose calls a host can make beside its other work.
/// `cpu_share`: of a core; `link_mbps`: megabits a second.
std::uint32_t workers_carried(double cpu_share, double link_mbps);

std::string encode_offer(const link_offer& offer);
/// Nothing on bytes that aren't one.
std::optional<link_offer> decode_offer(std::string_view bytes);

/// The coordinator's answer: whether orders go by way of the host.
std::string encode_offer_reply(bool used);
bool decode_offer_reply(std::string_view bytes);

} // namespace figwinch
