#pragma once

#include "figwinch/cell.h"
#include "figwinch/link/peer_client.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>

namespace figwinch {

namespace pb {
class LinkExchange;
class LinkResult;
} // namespace pb

/// The coordinator's end of one session with one relay, a host that forwards its orders to workers.
/// Queues orders, sends them in batches (exchanges) and passes each order's result to its handler.
/// If an exchange gets no reply, the session is lost: orders already sent may have been executed,
/// the others were not. Driven by `tick`. Owned by `order_router`.
class relay_client {
public:
    /// `address`: the relay's bus address. `session`: a name unique to this session.
    relay_client(const clock& time, peer_client& peers, std::string address, std::string session,
                 lease_epoch epoch);
    ~relay_client();
    relay_client(const relay_client&) = delete;
    relay_client& operator=(const relay_client&) = delete;

    void start(const worker_listing& target, const start_order& order,
               worker_orders::answer_handler done);
    void stop(const worker_listing& target, const std::string& task, run_number run,
              worker_orders::answer_handler done);
    void pace(const worker_listing& target, const throttle_order& order,
              worker_orders::answer_handler done);
    void hold(const worker_listing& target, const renewal_order& order,
              worker_orders::renewal_handler done);
    void forget(const worker_id& worker);

    /// Sends the queued orders if the exchange period has passed and no exchange is in flight.
    void tick();
    bool is_lost() const { return lost_; }
    /// Completes all pending orders of a lost session: as `unknown` if they were sent, else as
    /// `not_sent`.
    void complete_pending();
    /// Number of orders that have no result yet.
    std::size_t pending_count() const { return pending_.size(); }

private:
    struct pending_order {
        worker_orders::answer_handler on_answer;
        worker_orders::renewal_handler on_report;
    };
    struct known_worker {
        std::uint32_t number = 0;
        endpoint address;
    };

    std::uint32_t worker_number(const worker_listing& target);
    std::uint64_t payload_number(const start_order& order);
    std::uint64_t add_pending(pending_order&& order);
    void exchange();
    void on_reply(const std::optional<std::string>& bytes);
    void apply_result(const pb::LinkResult& result);
    void complete(std::uint64_t number, const pending_order& order) const;

    const clock& time_;
    peer_client& peers_;
    std::string address_;
    std::string session_;
    lease_epoch epoch_;
    std::unique_ptr<pb::LinkExchange> queued_;
    std::uint64_t last_exchange_ = 0;
    bool in_flight_ = false;
    bool lost_ = false;
    instant next_exchange_at_{};
    std::uint64_t last_order_ = 0;
    /// Number of the newest order that was sent to the relay.
    std::uint64_t last_sent_order_ = 0;
    /// By number, so that orders that get no reply are completed in the order of their sending.
    std::map<std::uint64_t, pending_order> pending_;
    std::uint32_t last_worker_ = 0;
    absl::flat_hash_map<worker_id, known_worker> workers_;
    std::uint64_t last_payload_ = 0;
    /// Payload numbers by job, for payloads that the relay has cached. `payload_order_` lists the
    /// same jobs, oldest first.
    absl::flat_hash_map<std::string, std::uint64_t> cached_payloads_;
    std::deque<std::string> payload_order_;
    /// Expires with this object, so that replies that arrive later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
