#include "figwinch/link/replica_selector.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t replicas_per_data_centre = 3;
// With fewer, hosts that forward queries would have no replica left when one is lost.
constexpr std::size_t min_replicas = 2;
constexpr duration choice_period = std::chrono::milliseconds(250);
// Hosts repeat their offers every 500 ms; a host is dropped after three missed offers.
constexpr duration offer_timeout = std::chrono::milliseconds(1800);
constexpr duration offer_collection_time = std::chrono::milliseconds(1000);

} // namespace

replica_selector::replica_selector(const clock& time, data_centre_id coordinator_data_centre)
    : time_(time), coordinator_data_centre_(std::move(coordinator_data_centre)),
      offers_complete_at_(time.now() + offer_collection_time) {}

offer_reply replica_selector::apply_offer(const relay_offer& offer) {
    candidate& host = candidates_[offer.bus_address];
    host.offer = offer;
    host.heard_at = time_.now();
    offer_reply reply;
    reply.from_coordinator = true;
    if (time_.now() < offers_complete_at_)
        return reply;
    if (time_.now() >= next_choice_at_)
        choose_replicas();
    reply.mode = mode_of(host);
    if (reply.mode == read_mode::forwarding && offer.replicas_digest != replicas_.digest())
        reply.replicas = replicas_;
    return reply;
}

/// Hosts forward queries only once enough read replicas have loaded their copy.
read_mode replica_selector::mode_of(const candidate& host) const {
    if (host.chosen)
        return read_mode::replica;
    return replicas_.entries().size() >= min_replicas ? read_mode::forwarding
                                                      : read_mode::undecided;
}

void replica_selector::choose_replicas() {
    const instant now = time_.now();
    next_choice_at_ = now + choice_period;
    std::erase_if(candidates_,
                  [now](const auto& entry) { return now - entry.second.heard_at > offer_timeout; });
    std::set<data_centre_id> data_centres;
    for (const auto& [address, host] : candidates_)
        data_centres.insert(host.offer.data_centre);
    for (const data_centre_id& data_centre : data_centres)
        choose_replicas_in(data_centre);
    std::vector<read_replica> entries;
    for (const auto& [address, host] : candidates_)
        if (host.chosen && host.offer.has_job_copy)
            entries.push_back({address, host.offer.data_centre});
    replicas_ = replica_list(std::move(entries));
}

/// Prefers hosts that are not about to stop, then those with more relay capacity, then present
/// read replicas, then hosts that have loaded a copy.
void replica_selector::choose_replicas_in(const data_centre_id& data_centre) {
    std::vector<candidate*> hosts;
    for (auto& [address, host] : candidates_)
        if (host.offer.data_centre == data_centre)
            hosts.push_back(&host);
    std::ranges::stable_sort(hosts, [](const candidate* one, const candidate* other) {
        const auto key = [](const candidate* host) {
            return std::tuple(!host->offer.leaving, host->offer.worker_capacity, host->chosen,
                              host->offer.has_job_copy);
        };
        return key(one) > key(other);
    });
    const std::size_t wanted =
        replicas_per_data_centre - (data_centre == coordinator_data_centre_ ? 1 : 0);
    for (std::size_t rank = 0; rank < hosts.size(); ++rank)
        hosts[rank]->chosen = rank < wanted && !hosts[rank]->offer.leaving;
}

} // namespace figwinch
