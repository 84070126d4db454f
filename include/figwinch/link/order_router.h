#pragma once

#include "figwinch/link/relay_client.h"
#include "figwinch/link/relay_offer.h"

#include <map>
#include <memory>
#include <string>

namespace figwinch {

/// Routes a coordinator's orders to its workers during one leadership term. As long as the host can
/// call all workers itself, orders are sent directly. Beyond that, hosts that have offered to
/// do so relay the orders to workers of their own data centre; as many relays are used as that data
/// centre's workers need, with some spare capacity. Workers of a data centre without a relay are
/// called directly. When a lease renewal (`hold`) gets no answer from a worker, its next orders
/// take another relay, since the present one may have lost its connection to the worker. Driven by
/// `tick`. Owned by `cell_member`.
class order_router final : public worker_orders {
public:
    /// Dependencies; all must outlive this object. `direct` calls workers without a relay.
    struct dependencies {
        const clock& time;
        worker_orders& direct;
        peer_client& peers;
    };

    /// `session`: a prefix for session names, unique to this leadership term of this process.
    /// `direct_capacity`: number of workers that this host can call directly.
    order_router(dependencies deps, std::string session, lease_epoch epoch,
                 std::uint32_t direct_capacity);
    ~order_router() override;

    void start(const worker_listing& target, const start_order& order,
               answer_handler done) override;
    void stop(const worker_listing& target, const std::string& task, run_number run,
              lease_epoch epoch, answer_handler done) override;
    void throttle(const worker_listing& target, const throttle_order& order,
                  answer_handler done) override;
    void renew_lease(const worker_listing& target, const renewal_order& order,
                     renewal_handler done) override;
    void forget(const worker_id& worker) override;

    /// Records a host's offer to relay orders; returns whether the host is in use as a relay.
    bool apply_offer(const relay_offer& offer);
    void tick();
    std::size_t relay_count() const { return relays_.size(); }

private:
    struct offered_host {
        relay_offer offer;
        instant heard_at{};
    };
    struct relay_host {
        std::unique_ptr<relay_client> client;
        relay_offer offer;
    };
    /// Relays in use, by bus address.
    using relay_map = std::map<std::string, relay_host>;
    struct known_worker {
        data_centre_id data_centre;
        /// Bus address of the worker's relay; empty if the worker is called directly.
        std::string relay_address;
        /// Number of better-ranked relays skipped because the worker did not answer through them.
        std::size_t relays_skipped = 0;
        /// When the best-ranked relay is tried again.
        instant retry_best_at{};
    };

    relay_client* relay_for(const worker_listing& target);
    std::string choose_relay(const worker_id& id, const known_worker& worker) const;
    void skip_relay(const worker_id& id, const std::string& relay);
    void choose_relays();
    void choose_relays_in(const data_centre_id& data_centre, std::size_t workers);
    void add_relay(const relay_offer& offer);
    void remove_relay(const std::string& address, std::string_view why);
    void remove_lost_relays();
    void finish_former_clients();
    void reassign_workers();

    dependencies dependencies_;
    std::string session_;
    lease_epoch epoch_;
    std::uint32_t direct_capacity_;
    std::map<std::string, offered_host> offers_;
    relay_map relays_;
    /// Sessions with former relays: they get no new orders and are kept until their pending orders
    /// have a result.
    std::vector<std::unique_ptr<relay_client>> former_clients_;
    absl::flat_hash_map<worker_id, known_worker> workers_;
    bool relays_changed_ = false;
    instant next_choice_at_{};
    std::uint64_t sessions_opened_ = 0;
    /// Expires with this object, so that answers that arrive later do not access it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
