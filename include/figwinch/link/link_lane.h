#pragma once

#include "figwinch/cell.h"
#include "figwinch/link/peer_asker.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <memory>

namespace figwinch {

namespace pb {
class LinkExchange;
class LinkResult;
} // namespace pb

/// The coordinator's end of one session with one relay, a host that forwards its orders to workers.
/// Queues orders, sends them in batches (exchanges) and passes each order's result to its handler.
/// If an exchange gets no reply, the session is lost: orders already sent may have been executed,
/// the others were not. Driven by `tick`. Owned by `linked_orders`.
class link_lane {
public:
    /// `where`: the relay's bus address. `session`: a name unique to this session.
    link_lane(const clock& time, peer_asker& peers, std::string where, std::string session,
              lease_epoch epoch);
    ~link_lane();
    link_lane(const link_lane&) = delete;
    link_lane& operator=(const link_lane&) = delete;

    void start(const worker_listing& where, const start_order& order,
               worker_orders::answer_handler done);
    void stop(const worker_listing& where, const std::string& task, run_number run,
              worker_orders::answer_handler done);
    void pace(const worker_listing& where, const pace_order& order,
              worker_orders::answer_handler done);
    void hold(const worker_listing& where, const hold_order& order,
              worker_orders::hold_handler done);
    void forget(const worker_id& worker);

    /// Sends the queued orders if the exchange period has passed and no exchange is in flight.
    void tick();
    bool is_lost() const { return lost_; }
    /// Completes all pending orders of a lost session: as `unknown` if they were sent, else as
    /// `not_sent`.
    void end_open();
    /// Number of orders that have no result yet.
    std::size_t open() const { return open_.size(); }

private:
    struct open_order {
        worker_orders::answer_handler answered;
        worker_orders::hold_handler held;
    };
    struct known_worker {
        std::uint32_t number = 0;
        endpoint address;
    };

    std::uint32_t number_of(const worker_listing& where);
    std::uint64_t payload_of(const start_order& order);
    std::uint64_t add_open(open_order&& order);
    void exchange();
    void take(const std::optional<std::string>& bytes);
    void take_result(const pb::LinkResult& result);
    void end(std::uint64_t number, const open_order& order) const;

    const clock& time_;
    peer_asker& peers_;
    std::string where_;
    std::string session_;
    lease_epoch epoch_;
    std::unique_ptr<pb::LinkExchange> next_;
    std::uint64_t exchanges_ = 0;
    bool in_flight_ = false;
    bool lost_ = false;
    instant next_exchange_{};
    std::uint64_t last_order_ = 0;
    /// Number of the newest order that was sent to the relay.
    std::uint64_t handed_over_ = 0;
    absl::flat_hash_map<std::uint64_t, open_order> open_;
    std::uint32_t last_worker_ = 0;
    absl::flat_hash_map<worker_id, known_worker> workers_;
    std::uint64_t last_payload_ = 0;
    /// Payload numbers by job, for payloads that the relay has cached. `payload_order_` lists the
    /// same jobs, oldest first.
    absl::flat_hash_map<std::string, std::uint64_t> payloads_;
    std::deque<std::string> payload_order_;
    /// Expires with this object, so that replies that arrive later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
