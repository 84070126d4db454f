#pragma once

#include "membership/bus_peer_service.h"
#include "tests/membership/sim_bus.h"

#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// One process of a simulation with its peer service; its node is its address.
struct sim_process {
    sim_process(sim_network& network, const std::string& address,
                const std::vector<std::string>& seeds, const std::string& run = "1")
        : bus(network, address, incarnation_id(address + "#" + run)),
          peers(network.loop.time(), bus, settings(address, seeds, run)) {
        tick(network.loop);
    }

    static peer_settings settings(const std::string& address, const std::vector<std::string>& seeds,
                                  const std::string& run) {
        peer_settings result;
        result.self.node = node_id(address);
        result.self.incarnation = incarnation_id(address + "#" + run);
        result.self.data_centre = data_centre_id("a");
        result.self.address = address;
        result.self.state = member_state::live;
        result.seeds = seeds;
        return result;
    }

    void tick(sim_loop& loop) {
        if (!is_frozen)
            peers.tick(loop.now());
        loop.after(peers.tick_period(), [this, &loop, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.expired())
                tick(loop);
        });
    }

    /// The state in which this process sees the process at `address`; empty when unknown.
    std::string sees(const std::string& address) const {
        static const std::vector<std::string> names = {"live", "leaving", "suspect", "dead"};
        for (const member& each : peers.members()) {
            if (each.address == address)
                return names.at(static_cast<std::size_t>(each.state));
        }
        return "";
    }

    sim_bus bus;
    bus_peer_service peers;
    bool is_frozen = false;

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
