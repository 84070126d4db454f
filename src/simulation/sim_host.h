#pragma once

#include "cell_host/cell_member.h"
#include "figwinch/simulation/sim_orders.h"
#include "figwinch/simulation/sim_peers.h"
#include "figwinch/simulation/sim_processor.h"
#include "figwinch/simulation/sim_store.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace figwinch::sim {

/// How a host takes part in passing orders on; without `peers` it doesn't.
struct sim_link {
    sim_peers* peers = nullptr;
    std::string address = "10.0.0.1:7000";
    data_centre_id data_centre;
    std::uint32_t carries = 0;
    double cpu_share = 1;
};

/// One host of a cell with its ways to the store, to the workers and to other hosts.
class sim_host final : public cell_platform {
public:
    sim_host(sim_time& time, sim_store& store, sim_fleet& fleet,
             const std::function<double()>& random, const std::string& name,
             const cell_settings& settings, cell_config config, const sim_link& link = {})
        : time_(time), fleet_(fleet), config_(std::move(config)), link_(link),
          log_(time, store, random), orders_(time, fleet, random), advisor_(time, fleet.policy),
          asker_(time, link.peers, link.address),
          member_(time.clock(), *this, asker_, settings, incarnation_id(name),
                  {link.address, link.data_centre, link.carries}, link.cpu_share) {
        if (link_.peers != nullptr)
            link_.peers->join(link_.address, {[this](std::string_view message, const auto& reply) {
                                                  answer(message, reply);
                                              },
                                              [this] { return is_frozen(); }});
        schedule();
    }
    ~sim_host() override {
        if (link_.peers != nullptr)
            link_.peers->leave(link_.address);
        asker_.kill();
        log_.kill();
        orders_.kill();
        advisor_.kill();
    }

    cell_member& member() { return member_; }
    sim_log& way_to_log() { return log_; }
    sim_orders& way_to_workers() { return orders_; }
    /// A frozen process does nothing; what it is sent waits.
    void freeze_for(duration span) { frozen_until_ = time_.now() + span; }
    bool is_frozen() const { return time_.now() < frozen_until_; }
    sim_processor& processor() { return processor_; }

    durable_log& log() override { return log_; }
    worker_orders& orders() override { return orders_; }
    worker_advisor& advisor() override { return advisor_; }
    const job_api_codec& job_codec() const override { std::abort(); }
    bool is_config_key(std::string_view key) const override { return key == "config"; }
    /// The value is the version.
    std::optional<cell_config> decode_config(std::string_view value) const override {
        cell_config config = config_;
        config.version = config_version(std::stoull(std::string(value)));
        return config;
    }
    std::optional<data_centre_id> evacuated_by(std::string_view key) const override {
        if (key.starts_with("out/"))
            return data_centre_id(key.substr(4));
        return std::nullopt;
    }
    absl::StatusOr<worker_listing> decode_listing(std::string_view id,
                                                  std::string_view bytes) const override {
        worker_listing listing = fleet_.workers.at(std::string(id)).listing;
        listing.leaving = bytes == "leaving";
        return listing;
    }
    std::uint64_t log_calls() const override { return 0; }
    std::uint64_t order_calls() const override { return 0; }

private:
    void answer(std::string_view message, const std::function<void(std::string)>& reply) {
        const std::string_view body = message.substr(1);
        const auto kind = static_cast<peer_message>(message.front());
        if (kind == peer_message::offer)
            return reply(member_.handle_offer(body));
        if (kind == peer_message::step_down)
            return reply(member_.handle_step_down(body));
        if (kind == peer_message::question)
            return member_.handle_query(body, reply);
        reply(member_.handle_exchange(body));
    }
    static constexpr duration tick_period = std::chrono::milliseconds(10);

    void schedule(duration wait = tick_period) {
        time_.after(wait, [this, weak = std::weak_ptr(alive_)] {
            if (weak.expired())
                return;
            schedule(std::max(tick_period, is_frozen() ? duration::zero() : tick()));
        });
    }
    /// Returns how long the processor takes for the tick, and for the orders since the last one.
    duration tick() {
        member_.tick();
        const coordinator* const known = member_.coordinating();
        const lease_epoch epoch = member_.election().epoch();
        if (known == nullptr || epoch != counted_epoch_)
            counted_ = {};
        counted_epoch_ = epoch;
        const coordinator_counts before = counted_;
        if (known != nullptr)
            counted_ = known->counts();
        return processor_.time_for(
            sim_processor::tick_cost + sim_processor::cost_of(before, counted_), time_.now());
    }

    sim_time& time_;
    sim_fleet& fleet_;
    cell_config config_;
    sim_link link_;
    sim_log log_;
    sim_orders orders_;
    sim_advisor advisor_;
    sim_asker asker_;
    cell_member member_;
    sim_processor processor_;
    /// What the coordinator had counted by the last tick, in the term of that epoch.
    coordinator_counts counted_;
    lease_epoch counted_epoch_;
    instant frozen_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
