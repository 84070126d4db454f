#include "figwinch/link/reader_roster.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t readers_a_data_centre = 3;
// With fewer, hosts that forward queries would have no replica left when one is lost.
constexpr std::size_t least_readers = 2;
constexpr duration choice_period = std::chrono::milliseconds(250);
// Hosts repeat their offers every 500 ms; a host is dropped after three missed offers.
constexpr duration offer_kept = std::chrono::milliseconds(1800);
constexpr duration offers_come_within = std::chrono::milliseconds(1000);

} // namespace

reader_roster::reader_roster(const clock& time, data_centre_id own)
    : time_(time), own_(std::move(own)), all_heard_at_(time.now() + offers_come_within) {}

offer_reply reader_roster::take_offer(const link_offer& offer) {
    heard_host& host = hosts_[offer.bus_address];
    host.offer = offer;
    host.at = time_.now();
    offer_reply reply;
    reply.coordinates = true;
    if (time_.now() < all_heard_at_)
        return reply;
    if (time_.now() >= next_choice_)
        choose();
    reply.part = part_of(host);
    if (reply.part == reading_part::asker && offer.readers_digest != readers_.digest())
        reply.readers = readers_;
    return reply;
}

/// Hosts forward queries only once enough read replicas have loaded their copy.
reading_part reader_roster::part_of(const heard_host& host) const {
    if (host.chosen)
        return reading_part::reader;
    return readers_.places().size() >= least_readers ? reading_part::asker
                                                     : reading_part::undecided;
}

void reader_roster::choose() {
    const instant now = time_.now();
    next_choice_ = now + choice_period;
    std::erase_if(hosts_, [now](const auto& entry) { return now - entry.second.at > offer_kept; });
    std::set<data_centre_id> data_centres;
    for (const auto& [address, host] : hosts_)
        data_centres.insert(host.offer.data_centre);
    for (const data_centre_id& data_centre : data_centres)
        choose_in(data_centre);
    std::vector<reader_place> places;
    for (const auto& [address, host] : hosts_)
        if (host.chosen && host.offer.reads)
            places.push_back({address, host.offer.data_centre});
    readers_ = reader_list(std::move(places));
}

/// Prefers hosts that are not about to stop, then those with more relay capacity, then present
/// read replicas, then hosts that have loaded a copy.
void reader_roster::choose_in(const data_centre_id& data_centre) {
    std::vector<heard_host*> hosts;
    for (auto& [address, host] : hosts_)
        if (host.offer.data_centre == data_centre)
            hosts.push_back(&host);
    std::ranges::stable_sort(hosts, [](const heard_host* one, const heard_host* other) {
        const auto key = [](const heard_host* host) {
            return std::tuple(!host->offer.leaving, host->offer.carries, host->chosen,
                              host->offer.reads);
        };
        return key(one) > key(other);
    });
    const std::size_t wanted = readers_a_data_centre - (data_centre == own_ ? 1 : 0);
    for (std::size_t rank = 0; rank < hosts.size(); ++rank)
        hosts[rank]->chosen = rank < wanted && !hosts[rank]->offer.leaving;
}

} // namespace figwinch
