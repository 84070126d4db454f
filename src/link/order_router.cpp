#include "figwinch/link/order_router.h"

#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr duration choice_period = std::chrono::milliseconds(500);
// Hosts repeat their offers every 500 ms; a host is dropped after three missed offers.
constexpr duration offer_timeout = std::chrono::milliseconds(1800);
// Spare capacity, so that the remaining relays can serve the workers of one that is lost.
constexpr double spare_factor = 1.5;
constexpr std::size_t min_relays = 2;
constexpr duration skip_duration = std::chrono::seconds(30);

std::uint32_t usable_capacity(const relay_offer& offer) {
    return offer.leaving ? 0 : offer.worker_capacity;
}

/// Ranks a relay for a worker by weighted rendezvous hashing; lower is better. When a relay is
/// added or removed, only its own workers move.
double distance(const relay_offer& relay, const worker_id& worker) {
    constexpr double range = 18446744073709551616.0;
    const auto hash = static_cast<double>(rendezvous_weight(relay.bus_address, worker.str()));
    return -std::log((hash + 1) / range) / std::max(1U, relay.worker_capacity);
}

} // namespace

order_router::order_router(dependencies deps, std::string session, lease_epoch epoch,
                           std::uint32_t direct_capacity)
    : dependencies_(deps), session_(std::move(session)), epoch_(epoch),
      direct_capacity_(direct_capacity) {}

order_router::~order_router() = default;

void order_router::start(const worker_listing& target, const start_order& order,
                         answer_handler done) {
    if (relay_client* const relay = relay_for(target))
        return relay->start(target, order, std::move(done));
    dependencies_.direct.start(target, order, std::move(done));
}

void order_router::stop(const worker_listing& target, const std::string& task, run_number run,
                        lease_epoch epoch, answer_handler done) {
    if (relay_client* const relay = relay_for(target))
        return relay->stop(target, task, run, std::move(done));
    dependencies_.direct.stop(target, task, run, epoch, std::move(done));
}

void order_router::throttle(const worker_listing& target, const throttle_order& order,
                            answer_handler done) {
    if (relay_client* const relay = relay_for(target))
        return relay->pace(target, order, std::move(done));
    dependencies_.direct.throttle(target, order, std::move(done));
}

void order_router::renew_lease(const worker_listing& target, const renewal_order& order,
                               renewal_handler done) {
    relay_client* const relay = relay_for(target);
    auto on_report = [this, weak = std::weak_ptr(alive_), id = target.id,
                      relay_address = workers_.at(target.id).relay_address,
                      done = std::move(done)](order_outcome outcome, const worker_report& report) {
        if (!weak.expired() && outcome == order_outcome::unknown)
            skip_relay(id, relay_address);
        done(outcome, report);
    };
    if (relay != nullptr)
        return relay->hold(target, order, std::move(on_report));
    dependencies_.direct.renew_lease(target, order, std::move(on_report));
}

void order_router::forget(const worker_id& worker) {
    for (const auto& [address, relay] : relays_)
        relay.client->forget(worker);
    dependencies_.direct.forget(worker);
    workers_.erase(worker);
}

relay_client* order_router::relay_for(const worker_listing& target) {
    const auto [known, is_new] = workers_.try_emplace(target.id);
    known_worker& worker = known->second;
    const bool retries =
        worker.relays_skipped > 0 && dependencies_.time.now() >= worker.retry_best_at;
    if (is_new || retries || worker.data_centre != target.data_centre) {
        worker.data_centre = target.data_centre;
        worker.relays_skipped = 0;
        worker.relay_address = choose_relay(target.id, worker);
    }
    const auto relay = relays_.find(worker.relay_address);
    return relay == relays_.end() ? nullptr : relay->second.client.get();
}

/// Returns the bus address of the best relay in the worker's data centre that is not skipped; empty
/// for direct calls. If there is only one relay, direct calls are the alternative to it.
std::string order_router::choose_relay(const worker_id& id, const known_worker& worker) const {
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto& [address, relay] : relays_)
        if (relay.offer.data_centre == worker.data_centre)
            candidates.emplace_back(distance(relay.offer, id), address);
    std::ranges::sort(candidates);
    if (candidates.size() < min_relays)
        candidates.emplace_back(0, "");
    return candidates[worker.relays_skipped % candidates.size()].second;
}

void order_router::skip_relay(const worker_id& id, const std::string& relay) {
    const auto known = workers_.find(id);
    if (known == workers_.end() || known->second.relay_address != relay)
        return;
    known_worker& worker = known->second;
    if (worker.relays_skipped == 0)
        worker.retry_best_at = dependencies_.time.now() + skip_duration;
    ++worker.relays_skipped;
    worker.relay_address = choose_relay(id, worker);
    if (worker.relay_address != relay)
        log_event(log_level::debug, "worker_passed_over", {{"worker", id.str()}, {"host", relay}});
}

bool order_router::apply_offer(const relay_offer& offer) {
    if (offer.bus_address.empty())
        return false;
    const auto known = offers_.find(offer.bus_address);
    const bool is_new = known == offers_.end() ||
                        known->second.offer.incarnation != offer.incarnation ||
                        known->second.offer.leaving != offer.leaving;
    offers_[offer.bus_address] = {offer, dependencies_.time.now()};
    if (is_new)
        next_choice_at_ = dependencies_.time.now();
    return relays_.contains(offer.bus_address);
}

void order_router::tick() {
    remove_lost_relays();
    if (std::exchange(relays_changed_, false))
        reassign_workers();
    finish_former_clients();
    if (dependencies_.time.now() >= next_choice_at_)
        choose_relays();
    if (std::exchange(relays_changed_, false))
        reassign_workers();
    for (const auto& [address, relay] : relays_)
        relay.client->tick();
    for (const auto& client : former_clients_)
        client->tick();
}

void order_router::remove_lost_relays() {
    std::vector<std::string> lost;
    for (const auto& [address, relay] : relays_)
        if (relay.client->is_lost())
            lost.push_back(address);
    for (const std::string& address : lost) {
        offers_.erase(address);
        remove_relay(address, "no reply");
    }
}

/// Discards former relays that have no pending orders, and completes the pending orders of lost
/// ones. To be called after the workers were assigned to other relays: the coordinator may answer
/// a failed order with a new one, which must not go to the lost relay.
void order_router::finish_former_clients() {
    std::vector<std::unique_ptr<relay_client>> unfinished;
    for (auto& client : std::exchange(former_clients_, {})) {
        if (client->is_lost())
            client->complete_pending();
        else if (client->pending_count() > 0)
            unfinished.push_back(std::move(client));
    }
    std::ranges::move(unfinished, std::back_inserter(former_clients_));
}

void order_router::choose_relays() {
    const instant now = dependencies_.time.now();
    next_choice_at_ = now + choice_period;
    std::erase_if(offers_,
                  [now](const auto& entry) { return now - entry.second.heard_at > offer_timeout; });
    std::map<data_centre_id, std::size_t> workers;
    for (const auto& [id, worker] : workers_)
        ++workers[worker.data_centre];
    const bool needed = workers_.size() > direct_capacity_;
    for (const auto& [data_centre, count] : workers)
        choose_relays_in(data_centre, needed ? count : 0);
}

/// Uses the hosts with the most relay capacity; among equals, relays in use come first, then lower
/// addresses.
void order_router::choose_relays_in(const data_centre_id& data_centre, std::size_t workers) {
    std::vector<const relay_offer*> hosts;
    for (const auto& [address, host] : offers_)
        if (host.offer.data_centre == data_centre && usable_capacity(host.offer) > 0)
            hosts.push_back(&host.offer);
    std::ranges::stable_sort(hosts, [this](const relay_offer* one, const relay_offer* other) {
        const auto key = [this](const relay_offer* offer) {
            return std::pair(usable_capacity(*offer), relays_.contains(offer->bus_address));
        };
        return key(one) > key(other);
    });
    std::vector<std::string> selected;
    double capacity = 0;
    for (const relay_offer* const host : hosts) {
        const bool enough = capacity >= static_cast<double>(workers) * spare_factor;
        if (workers == 0 || (enough && selected.size() >= min_relays))
            break;
        capacity += host->worker_capacity;
        selected.push_back(host->bus_address);
        add_relay(*host);
    }
    std::vector<std::string> unneeded;
    for (const auto& [address, relay] : relays_)
        if (relay.offer.data_centre == data_centre && std::ranges::count(selected, address) == 0)
            unneeded.push_back(address);
    for (const std::string& address : unneeded)
        remove_relay(address, "not needed");
}

void order_router::add_relay(const relay_offer& offer) {
    const auto known = relays_.find(offer.bus_address);
    if (known != relays_.end() && known->second.offer.incarnation == offer.incarnation)
        return;
    if (known != relays_.end())
        remove_relay(offer.bus_address, "restarted");
    relay_host& added = relays_[offer.bus_address];
    added.offer = offer;
    added.client =
        std::make_unique<relay_client>(dependencies_.time, dependencies_.peers, offer.bus_address,
                                       absl::StrCat(session_, "/", ++sessions_opened_), epoch_);
    relays_changed_ = true;
    log_event(log_level::info, "link_opened",
              {{"host", offer.incarnation.str()},
               {"data_centre", offer.data_centre.str()},
               {"carries", std::int64_t{offer.worker_capacity}}});
}

void order_router::remove_relay(const std::string& address, std::string_view why) {
    const auto known = relays_.find(address);
    if (known == relays_.end())
        return;
    log_event(log_level::warn, "link_closed",
              {{"host", known->second.offer.incarnation.str()},
               {"why", std::string(why)},
               {"open", static_cast<std::int64_t>(known->second.client->pending_count())}});
    former_clients_.push_back(std::move(known->second.client));
    relays_.erase(known);
    relays_changed_ = true;
}

void order_router::reassign_workers() {
    for (auto& [id, worker] : workers_) {
        worker.relays_skipped = 0;
        worker.relay_address = choose_relay(id, worker);
    }
}

} // namespace figwinch
