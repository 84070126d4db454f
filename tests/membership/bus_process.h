#pragma once

#include "figwinch/net.h"
#include "membership/peer_service.h"

#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// A process with a real bus on loopback; several share one loop.
struct bus_process {
    bus_process(event_loop& loop, const clock& time, const std::string& name,
                const std::vector<std::string>& seeds, duration period)
        : messages(bus::bind(loop, time, "127.0.0.1", 0, incarnation_id(name + "#1")).value()),
          peers(peer_service::create(loop, time, *messages, settings(name, seeds, period))) {}

    peer_settings settings(const std::string& name, const std::vector<std::string>& seeds,
                           duration period) const {
        peer_settings result;
        result.self.node = node_id(name);
        result.self.incarnation = incarnation_id(name + "#1");
        result.self.data_centre = data_centre_id("mu-north-a");
        result.self.address = address();
        result.self.state = member_state::live;
        result.seeds = seeds;
        result.heartbeat_period = period;
        return result;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(messages->port()); }

    std::size_t live_peers() const {
        std::size_t count = 0;
        for (const member& each : peers->members())
            count += each.state == member_state::live ? 1 : 0;
        return count;
    }

    std::unique_ptr<bus> messages;
    std::unique_ptr<peer_service> peers;
};

/// Runs the loop until `is_done`, or for `limit`; returns whether it was done.
inline bool run_until(event_loop& loop, duration limit, const std::function<bool()>& is_done) {
    bool done = false;
    const auto check = loop.every(std::chrono::milliseconds(5), [&] {
        done = is_done();
        if (done)
            loop.stop();
    });
    const auto bound = loop.after(limit, [&] { loop.stop(); });
    loop.run();
    return done;
}

} // namespace figwinch
