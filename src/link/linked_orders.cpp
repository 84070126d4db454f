#include "figwinch/link/linked_orders.h"

#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr duration choice_period = std::chrono::milliseconds(500);
// Hosts repeat their offers every 500 ms; a host is dropped after three missed offers.
constexpr duration offer_kept = std::chrono::milliseconds(1800);
// Spare capacity, so that the remaining relays can serve the workers of one that is lost.
constexpr double spare_factor = 1.5;
constexpr std::size_t least_lanes = 2;
constexpr duration passed_over_for = std::chrono::seconds(30);

std::uint32_t carried_by(const link_offer& offer) {
    return offer.leaving ? 0 : offer.carries;
}

/// Ranks a relay for a worker by weighted rendezvous hashing; lower is better. When a relay is
/// added or removed, only its own workers move.
double distance(const link_offer& lane, const worker_id& worker) {
    constexpr double range = 18446744073709551616.0;
    const auto drawn = static_cast<double>(rendezvous_weight(lane.bus_address, worker.str()));
    return -std::log((drawn + 1) / range) / std::max(1U, lane.carries);
}

} // namespace

linked_orders::linked_orders(parts with, std::string session, lease_epoch epoch,
                             std::uint32_t carries)
    : with_(with), session_(std::move(session)), epoch_(epoch), carries_(carries) {}

linked_orders::~linked_orders() = default;

void linked_orders::start(const worker_listing& where, const start_order& order,
                          answer_handler done) {
    if (link_lane* const lane = lane_to(where))
        return lane->start(where, order, std::move(done));
    with_.direct.start(where, order, std::move(done));
}

void linked_orders::stop(const worker_listing& where, const std::string& task, run_number run,
                         lease_epoch epoch, answer_handler done) {
    if (link_lane* const lane = lane_to(where))
        return lane->stop(where, task, run, std::move(done));
    with_.direct.stop(where, task, run, epoch, std::move(done));
}

void linked_orders::pace(const worker_listing& where, const pace_order& order,
                         answer_handler done) {
    if (link_lane* const lane = lane_to(where))
        return lane->pace(where, order, std::move(done));
    with_.direct.pace(where, order, std::move(done));
}

void linked_orders::hold(const worker_listing& where, const hold_order& order, hold_handler done) {
    link_lane* const lane = lane_to(where);
    auto noted = [this, weak = std::weak_ptr(alive_), id = where.id, by = workers_.at(where.id).by,
                  done = std::move(done)](order_outcome outcome, const worker_report& report) {
        if (!weak.expired() && outcome == order_outcome::unknown)
            pass_over(id, by);
        done(outcome, report);
    };
    if (lane != nullptr)
        return lane->hold(where, order, std::move(noted));
    with_.direct.hold(where, order, std::move(noted));
}

void linked_orders::forget(const worker_id& worker) {
    for (const auto& [address, lane] : lanes_)
        lane.way->forget(worker);
    with_.direct.forget(worker);
    workers_.erase(worker);
}

link_lane* linked_orders::lane_to(const worker_listing& where) {
    const auto [known, is_new] = workers_.try_emplace(where.id);
    known_worker& worker = known->second;
    const bool retries = worker.passed_over > 0 && with_.time.now() >= worker.retry_best_at;
    if (is_new || retries || worker.data_centre != where.data_centre) {
        worker.data_centre = where.data_centre;
        worker.passed_over = 0;
        worker.by = choose_lane(where.id, worker);
    }
    const auto lane = lanes_.find(worker.by);
    return lane == lanes_.end() ? nullptr : lane->second.way.get();
}

/// Returns the bus address of the best relay in the worker's data centre that is not skipped; empty
/// for direct calls. If there is only one relay, direct calls are the alternative to it.
std::string linked_orders::choose_lane(const worker_id& id, const known_worker& worker) const {
    std::vector<std::pair<double, std::string>> ways;
    for (const auto& [address, lane] : lanes_)
        if (lane.offer.data_centre == worker.data_centre)
            ways.emplace_back(distance(lane.offer, id), address);
    std::ranges::sort(ways);
    if (ways.size() < least_lanes)
        ways.emplace_back(0, "");
    return ways[worker.passed_over % ways.size()].second;
}

void linked_orders::pass_over(const worker_id& id, const std::string& lane) {
    const auto known = workers_.find(id);
    if (known == workers_.end() || known->second.by != lane)
        return;
    known_worker& worker = known->second;
    if (worker.passed_over == 0)
        worker.retry_best_at = with_.time.now() + passed_over_for;
    ++worker.passed_over;
    worker.by = choose_lane(id, worker);
    if (worker.by != lane)
        log_event(log_level::debug, "worker_passed_over", {{"worker", id.str()}, {"host", lane}});
}

bool linked_orders::take_offer(const link_offer& offer) {
    if (offer.bus_address.empty())
        return false;
    const auto known = offers_.find(offer.bus_address);
    const bool is_new = known == offers_.end() ||
                        known->second.offer.incarnation != offer.incarnation ||
                        known->second.offer.leaving != offer.leaving;
    offers_[offer.bus_address] = {offer, with_.time.now()};
    if (is_new)
        next_choice_ = with_.time.now();
    return lanes_.contains(offer.bus_address);
}

void linked_orders::tick() {
    drop_lost_lanes();
    if (std::exchange(changed_, false))
        assign_all();
    end_closing();
    if (with_.time.now() >= next_choice_)
        choose_lanes();
    if (std::exchange(changed_, false))
        assign_all();
    for (const auto& [address, lane] : lanes_)
        lane.way->tick();
    for (const auto& way : closing_)
        way->tick();
}

void linked_orders::drop_lost_lanes() {
    std::vector<std::string> lost;
    for (const auto& [address, lane] : lanes_)
        if (lane.way->is_lost())
            lost.push_back(address);
    for (const std::string& address : lost) {
        offers_.erase(address);
        close_lane(address, "no reply");
    }
}

/// Discards former relays that have no pending orders, and completes the pending orders of lost
/// ones. To be called after the workers were assigned to other relays: the coordinator may answer
/// a failed order with a new one, which must not go to the lost relay.
void linked_orders::end_closing() {
    std::vector<std::unique_ptr<link_lane>> open;
    for (auto& way : std::exchange(closing_, {})) {
        if (way->is_lost())
            way->end_open();
        else if (way->open() > 0)
            open.push_back(std::move(way));
    }
    std::ranges::move(open, std::back_inserter(closing_));
}

void linked_orders::choose_lanes() {
    const instant now = with_.time.now();
    next_choice_ = now + choice_period;
    std::erase_if(offers_,
                  [now](const auto& entry) { return now - entry.second.heard_at > offer_kept; });
    std::map<data_centre_id, std::size_t> workers;
    for (const auto& [id, worker] : workers_)
        ++workers[worker.data_centre];
    const bool needed = workers_.size() > carries_;
    for (const auto& [data_centre, count] : workers)
        choose_lanes_of(data_centre, needed ? count : 0);
}

/// Uses the hosts with the most relay capacity; among equals, relays in use come first, then lower
/// addresses.
void linked_orders::choose_lanes_of(const data_centre_id& data_centre, std::size_t workers) {
    std::vector<const link_offer*> hosts;
    for (const auto& [address, host] : offers_)
        if (host.offer.data_centre == data_centre && carried_by(host.offer) > 0)
            hosts.push_back(&host.offer);
    std::ranges::stable_sort(hosts, [this](const link_offer* one, const link_offer* other) {
        const auto key = [this](const link_offer* offer) {
            return std::pair(carried_by(*offer), lanes_.contains(offer->bus_address));
        };
        return key(one) > key(other);
    });
    std::vector<std::string> kept;
    double carried = 0;
    for (const link_offer* const host : hosts) {
        const bool enough = carried >= static_cast<double>(workers) * spare_factor;
        if (workers == 0 || (enough && kept.size() >= least_lanes))
            break;
        carried += host->carries;
        kept.push_back(host->bus_address);
        open_lane(*host);
    }
    std::vector<std::string> others;
    for (const auto& [address, lane] : lanes_)
        if (lane.offer.data_centre == data_centre && std::ranges::count(kept, address) == 0)
            others.push_back(address);
    for (const std::string& address : others)
        close_lane(address, "not needed");
}

void linked_orders::open_lane(const link_offer& offer) {
    const auto known = lanes_.find(offer.bus_address);
    if (known != lanes_.end() && known->second.offer.incarnation == offer.incarnation)
        return;
    if (known != lanes_.end())
        close_lane(offer.bus_address, "restarted");
    used_host& made = lanes_[offer.bus_address];
    made.offer = offer;
    made.way = std::make_unique<link_lane>(with_.time, with_.peers, offer.bus_address,
                                           absl::StrCat(session_, "/", ++opened_), epoch_);
    changed_ = true;
    log_event(log_level::info, "link_opened",
              {{"host", offer.incarnation.str()},
               {"data_centre", offer.data_centre.str()},
               {"carries", std::int64_t{offer.carries}}});
}

void linked_orders::close_lane(const std::string& address, std::string_view why) {
    const auto known = lanes_.find(address);
    if (known == lanes_.end())
        return;
    log_event(log_level::warn, "link_closed",
              {{"host", known->second.offer.incarnation.str()},
               {"why", std::string(why)},
               {"open", static_cast<std::int64_t>(known->second.way->open())}});
    closing_.push_back(std::move(known->second.way));
    lanes_.erase(known);
    changed_ = true;
}

void linked_orders::assign_all() {
    for (auto& [id, worker] : workers_) {
        worker.passed_over = 0;
        worker.by = choose_lane(id, worker);
    }
}

} // namespace figwinch
