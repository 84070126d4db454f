#include "figwinch/link/relay_offer.h"

#include "link.pb.h"

#include <algorithm>

namespace figwinch {
namespace {

// Cost of one worker for the host that calls it: about seven calls a second, a few KiB in total.
constexpr double core_per_worker = 0.0005;
constexpr double mbps_per_worker = 0.06;
// Share of CPU and bandwidth that calls to workers may use. The rest is for requests from callers
// and for reading the log.
constexpr double relay_share = 0.5;
constexpr double max_relay_capacity = 100'000;

} // namespace

std::uint32_t relay_capacity(double cpu_share, double link_mbps) {
    const double cpu_capacity = cpu_share * relay_share / core_per_worker;
    const double bandwidth_capacity = link_mbps * relay_share / mbps_per_worker;
    return static_cast<std::uint32_t>(
        std::clamp(std::min(cpu_capacity, bandwidth_capacity), 1.0, max_relay_capacity));
}

std::string encode_offer(const relay_offer& offer) {
    pb::LinkOffer message;
    message.set_incarnation(offer.incarnation.str());
    message.set_bus_address(offer.bus_address);
    message.set_data_centre(offer.data_centre.str());
    message.set_carries(offer.worker_capacity);
    message.set_leaving(offer.leaving);
    message.set_reads(offer.has_job_copy);
    message.set_readers_digest(offer.replicas_digest);
    return message.SerializeAsString();
}

std::optional<relay_offer> decode_offer(std::string_view bytes) {
    pb::LinkOffer message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.bus_address().empty())
        return std::nullopt;
    return relay_offer{incarnation_id(message.incarnation()),
                       message.bus_address(),
                       data_centre_id(message.data_centre()),
                       message.carries(),
                       message.leaving(),
                       message.reads(),
                       message.readers_digest()};
}

std::string encode_offer_reply(const offer_reply& reply) {
    pb::LinkOfferReply message;
    message.set_used(reply.used_as_relay);
    message.set_coordinates(reply.from_coordinator);
    message.set_part(static_cast<pb::LinkOfferReply::Part>(reply.mode));
    if (reply.replicas) {
        message.set_readers_digest(reply.replicas->digest());
        for (const read_replica& replica : reply.replicas->entries()) {
            pb::LinkReader& row = *message.add_readers();
            row.set_bus_address(replica.bus_address);
            row.set_data_centre(replica.data_centre.str());
        }
    }
    return message.SerializeAsString();
}

std::optional<offer_reply> decode_offer_reply(std::string_view bytes) {
    pb::LinkOfferReply message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    offer_reply reply;
    reply.used_as_relay = message.used();
    reply.from_coordinator = message.coordinates();
    if (message.part() == pb::LinkOfferReply::READER)
        reply.mode = read_mode::replica;
    if (message.part() == pb::LinkOfferReply::ASKER)
        reply.mode = read_mode::forwarding;
    if (message.readers_digest() == 0)
        return reply;
    std::vector<read_replica> entries;
    for (const pb::LinkReader& row : message.readers())
        entries.push_back({row.bus_address(), data_centre_id(row.data_centre())});
    reply.replicas = replica_list(std::move(entries));
    return reply;
}

} // namespace figwinch
