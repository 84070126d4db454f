#pragma once

#include "figwinch/routing/fair_queue.h"
#include "figwinch/routing/waiting_request.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace figwinch {

/// A request that was waiting and is refused to make room.
struct shed_request {
    std::uint64_t number = 0;
    result_code code = result_code::queue_full;
};

/// What became of a request that asked to wait.
struct admission_result {
    /// `ok`: it waits. Otherwise it is refused at once, not run.
    result_code code = result_code::ok;
    /// The predicted wait, for Retry-After.
    duration predicted_wait{};
    /// A request that had to leave for it.
    std::optional<shed_request> shed;
};

/// Who waits for a slot and in which order: urgent before normal before bulk, fair between
/// customers within a class. Bounded, and refuses at once what can't make its deadline. Owned by an
/// entry.
class admission {
public:
    struct settings {
        /// Requests that wait in all.
        std::size_t max_waiting = 2000;
    };

    explicit admission(const settings& with) : with_(with) {}

    admission_result offer(waiting_request request, const service_pace& pace, instant now);
    /// The next request whose service `has_slot`; empty when none can go.
    std::optional<waiting_request> take(const std::function<bool(const service_id&)>& has_slot);
    /// Removes and returns every request that can no longer make its deadline, given how long its
    /// service's work takes. They are refused at once rather than held until the deadline.
    /// `longest_work` bounds every `work_time`, so that later deadlines need not be looked at.
    std::vector<waiting_request>
    give_up(const std::function<duration(const service_id&)>& work_time, duration longest_work,
            instant now);
    /// Removes one request, whose caller has gone away.
    bool remove(std::uint64_t number);
    std::size_t waiting() const { return index_.size(); }
    duration predicted_wait(const waiting_request& request, const service_pace& pace) const;

private:
    static constexpr std::size_t classes = 3;
    struct location {
        std::size_t lane = 0;
        service_id service;
        customer_id customer;
        instant deadline{};
    };
    using lane = std::map<service_id, fair_queue>;

    static std::size_t lane_of(work_class value);
    std::optional<shed_request> make_room(const waiting_request& newcomer, std::size_t own_lane);
    void forget(std::uint64_t number);

    settings with_;
    std::array<lane, classes> lanes_;
    absl::flat_hash_map<std::uint64_t, location> index_;
    std::set<std::pair<instant, std::uint64_t>> by_deadline_;
};

} // namespace figwinch
