#pragma once

#include "figwinch/routing/waiting_request.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace figwinch {

/// Requests of one class and service, in order of fair shares: start-time fair queueing, where a
/// customer's next request is tagged 1/share after its last and the lowest tag goes first. A
/// customer that floods only lengthens its own part. Owned by `admission`.
class fair_queue {
public:
    void push(waiting_request request);
    /// The request that goes next; null when none waits.
    const waiting_request* front() const;
    std::optional<waiting_request> pop();
    std::optional<waiting_request> remove(const customer_id& customer, std::uint64_t number);
    /// Takes the newest request of the customer that waits with most per share.
    std::optional<waiting_request> pop_heaviest();
    /// How many requests would go before one more of this customer.
    double ahead_of(const customer_id& customer, int share) const;
    /// Waiting requests per unit of share.
    double load_of(const customer_id& customer, int share) const;
    /// The most that any customer waits with per unit of share.
    double heaviest_load() const;
    std::size_t customers() const { return flows_.size(); }
    std::size_t size() const { return size_; }

private:
    struct flow {
        std::list<waiting_request> waiting;
        double tag = 0;
        int share = 1;
    };
    using flow_map = std::map<customer_id, flow>;

    static double load_of(const flow& it);
    flow_map::const_iterator heaviest() const;
    void retire(flow_map::iterator it);

    flow_map flows_;
    std::set<std::pair<double, customer_id>> order_;
    /// Tag of the request that was served last.
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace figwinch
