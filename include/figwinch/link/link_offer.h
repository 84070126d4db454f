#pragma once

#include "figwinch/base.h"
#include "figwinch/link/reader_list.h"

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
    /// It keeps a whole copy of the cell's jobs.
    bool reads = false;
    /// Of the readers that it knows: `reader_list::digest`.
    std::uint64_t readers_digest = 0;
};

/// Whether a host keeps a copy of the cell's jobs or asks hosts that do.
enum class reading_part { undecided, reader, asker };

/// The coordinator's answer to an offer.
struct offer_reply {
    /// Whether orders go by way of the host.
    bool used = false;
    reading_part part = reading_part::undecided;
    /// Whether the host that replies coordinates.
    bool coordinates = false;
    /// Nothing: as the host knows them already.
    std::optional<reader_list> readers;
};

/// Workers whose calls a host can make beside its other work.
/// `cpu_share`: of a core; `link_mbps`: megabits a second.
std::uint32_t workers_carried(double cpu_share, double link_mbps);

std::string encode_offer(const link_offer& offer);
/// Nothing on bytes that aren't one.
std::optional<link_offer> decode_offer(std::string_view bytes);

std::string encode_offer_reply(const offer_reply& reply);
/// Nothing on bytes that aren't one.
std::optional<offer_reply> decode_offer_reply(std::string_view bytes);

} // namespace figwinch
