#pragma once

#include "figwinch/link/link_lane.h"
#include "figwinch/link/link_offer.h"

#include <map>
#include <memory>
#include <string>

namespace figwinch {

/// A coordinator's way to its workers during one reign. While the workers are no more than the
/// host itself carries, it calls all of them; else hosts of each worker's data centre that have
/// offered it pass the orders on, as many of them as carry its workers with some to spare. Workers
/// of a data centre without such a host are called directly. A worker that leaves a hold unanswered
/// is held by way of another host next, since the host may have lost its own way to it. Driven by
/// `tick`. Owned by `cell_member`.
class linked_orders final : public worker_orders {
public:
    /// What it works with; all outlive it.
    struct parts {
        const clock& time;
        worker_orders& direct;
        peer_asker& peers;
    };

    /// `session` names this reign of this process; `carries`: workers that the host itself carries.
    linked_orders(parts with, std::string session, lease_epoch epoch, std::uint32_t carries);
    ~linked_orders() override;

    void start(const worker_listing& where, const start_order& order, answer_handler done) override;
    void stop(const worker_listing& where, const std::string& task, run_number run,
              lease_epoch epoch, answer_handler done) override;
    void throttle(const worker_listing& where, const throttle_order& order,
                  answer_handler done) override;
    void renew_lease(const worker_listing& where, const renewal_order& order,
                     renewal_handler done) override;
    void forget(const worker_id& worker) override;

    /// Takes a host's offer; returns whether orders go by way of it.
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
    /// By bus address.
    using lane_map = std::map<std::string, used_host>;
    struct known_worker {
        data_centre_id data_centre;
        /// The bus address of the lane; empty: called directly.
        std::string by;
        /// How many lanes better than this one were left for want of answers.
        std::size_t passed_over = 0;
        /// When the best one is tried again.
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
    /// Lanes that get no new orders, until what is open on them has come to something.
    std::vector<std::unique_ptr<link_lane>> closing_;
    absl::flat_hash_map<worker_id, known_worker> workers_;
    bool changed_ = false;
    instant next_choice_{};
    std::uint64_t opened_ = 0;
    /// Expires with this object: answers that come later change no lane.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
