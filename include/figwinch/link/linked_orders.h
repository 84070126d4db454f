#pragma once

#include "figwinch/link/link_lane.h"
#include "figwinch/link/link_offer.h"

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
class linked_orders final : public worker_orders {
public:
    /// Dependencies; all must outlive this object. `direct` calls workers without a relay.
    struct parts {
        const clock& time;
        worker_orders& direct;
        peer_asker& peers;
    };

    /// `session`: a prefix for session names, unique to this leadership term of this process.
    /// `carries`: number of workers that this host can call directly.
    linked_orders(parts with, std::string session, lease_epoch epoch, std::uint32_t carries);
    ~linked_orders() override;

    void start(const worker_listing& where, const start_order& order, answer_handler done) override;
    void stop(const worker_listing& where, const std::string& task, run_number run,
              lease_epoch epoch, answer_handler done) override;
    void pace(const worker_listing& where, const pace_order& order, answer_handler done) override;
    void hold(const worker_listing& where, const hold_order& order, hold_handler done) override;
    void forget(const worker_id& worker) override;

    /// Records a host's offer to relay orders; returns whether the host is in use as a relay.
    bool take_offer(const link_offer& offer);
    void tick();
    std::size_t lanes() const { return lanes_.size(); }

private:
    struct offered_host {
        link_offer offer;
        instant heard_at{};
    };
    struct used_host {
        std::unique_ptr<link_lane> way;
        link_offer offer;
    };
    /// Relays in use, by bus address.
    using lane_map = std::map<std::string, used_host>;
    struct known_worker {
        data_centre_id data_centre;
        /// Bus address of the worker's relay; empty if the worker is called directly.
        std::string by;
        /// Number of better-ranked relays skipped because the worker did not answer through them.
        std::size_t passed_over = 0;
        /// When the best-ranked relay is tried again.
        instant retry_best_at{};
    };

    link_lane* lane_to(const worker_listing& where);
    std::string choose_lane(const worker_id& id, const known_worker& worker) const;
    void pass_over(const worker_id& id, const std::string& lane);
    void choose_lanes();
    void choose_lanes_of(const data_centre_id& data_centre, std::size_t workers);
    void open_lane(const link_offer& offer);
    void close_lane(const std::string& address, std::string_view why);
    void drop_lost_lanes();
    void end_closing();
    void assign_all();

    parts with_;
    std::string session_;
    lease_epoch epoch_;
    std::uint32_t carries_;
    std::map<std::string, offered_host> offers_;
    lane_map lanes_;
    /// Sessions with former relays: they get no new orders and are kept until their pending orders
    /// have a result.
    std::vector<std::unique_ptr<link_lane>> closing_;
    absl::flat_hash_map<worker_id, known_worker> workers_;
    bool changed_ = false;
    instant next_choice_{};
    std::uint64_t opened_ = 0;
    /// Expires with this object, so that answers that arrive later do not access it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
