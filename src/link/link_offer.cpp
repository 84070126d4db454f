#include "figwinch/link/link_offer.h"

#include "link.pb.h"

#include <algorithm>

namespace figwinch {
namespace {

// Cost of one worker for the host that calls it: about seven calls a second, a few KiB in total.
constexpr double core_per_worker = 0.0005;
constexpr double mbps_per_worker = 0.06;
// Share of CPU and bandwidth that calls to workers may use. The rest is for requests from callers
// and for reading the log.
constexpr double share_for_calls = 0.5;
constexpr double most_carried = 100'000;

} // namespace

std::uint32_t workers_carried(double cpu_share, double link_mbps) {
    const double by_processor = cpu_share * share_for_calls / core_per_worker;
    const double by_link = link_mbps * share_for_calls / mbps_per_worker;
    return static_cast<std::uint32_t>(
        std::clamp(std::min(by_processor, by_link), 1.0, most_carried));
}

std::string encode_offer(const link_offer& offer) {
    pb::LinkOffer message;
    message.set_incarnation(offer.incarnation.str());
    message.set_bus_address(offer.bus_address);
    message.set_data_centre(offer.data_centre.str());
    message.set_carries(offer.carries);
    message.set_leaving(offer.leaving);
    message.set_reads(offer.reads);
    message.set_readers_digest(offer.readers_digest);
    return message.SerializeAsString();
}

std::optional<link_offer> decode_offer(std::string_view bytes) {
    pb::LinkOffer message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.bus_address().empty())
        return std::nullopt;
    return link_offer{incarnation_id(message.incarnation()),
                      message.bus_address(),
                      data_centre_id(message.data_centre()),
                      message.carries(),
                      message.leaving(),
                      message.reads(),
                      message.readers_digest()};
}

std::string encode_offer_reply(const offer_reply& reply) {
    pb::LinkOfferReply message;
    message.set_used(reply.used);
    message.set_coordinates(reply.coordinates);
    message.set_part(static_cast<pb::LinkOfferReply::Part>(reply.part));
    if (reply.readers) {
        message.set_readers_digest(reply.readers->digest());
        for (const reader_place& reader : reply.readers->places()) {
            pb::LinkReader& row = *message.add_readers();
            row.set_bus_address(reader.bus_address);
            row.set_data_centre(reader.data_centre.str());
        }
    }
    return message.SerializeAsString();
}

std::optional<offer_reply> decode_offer_reply(std::string_view bytes) {
    pb::LinkOfferReply message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    offer_reply reply;
    reply.used = message.used();
    reply.coordinates = message.coordinates();
    if (message.part() == pb::LinkOfferReply::READER)
        reply.part = reading_part::reader;
    if (message.part() == pb::LinkOfferReply::ASKER)
        reply.part = reading_part::asker;
    if (message.readers_digest() == 0)
        return reply;
    std::vector<reader_place> places;
    for (const pb::LinkReader& row : message.readers())
        places.push_back({row.bus_address(), data_centre_id(row.data_centre())});
    reply.readers = reader_list(std::move(places));
    return reply;
}

} // namespace figwinch
