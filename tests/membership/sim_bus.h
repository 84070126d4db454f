#pragma once

#include "figwinch/net/bus.h"
#include "tests/log/sim_loop.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace figwinch {

class sim_bus;

/// Carries messages between the buses of a simulation.
struct sim_network {
    explicit sim_network(sim_loop& the_loop) : loop(the_loop) {}

    /// Whether messages between two addresses are lost, in both directions.
    bool is_cut(const std::string& one, const std::string& other) const {
        return cut.contains({one, other}) || cut.contains({other, one});
    }

    sim_loop& loop;
    duration one_way = std::chrono::milliseconds(1);
    std::set<std::pair<std::string, std::string>> cut;
    std::map<std::string, sim_bus*> buses;
};

/// A `bus` of a simulation, reached at `address`.
class sim_bus final : public bus {
public:
    sim_bus(sim_network& network, std::string address, incarnation_id self)
        : network_(network), address_(std::move(address)), self_(std::move(self)) {
        network_.buses[address_] = this;
    }
    ~sim_bus() override { network_.buses.erase(address_); }
    sim_bus(const sim_bus&) = delete;
    sim_bus& operator=(const sim_bus&) = delete;

    std::uint16_t port() const override { return 1; }
    void on_request(request_handler handle) override { handle_ = std::move(handle); }
    void forget(const std::string& /*where*/) override {}
    const bus_traffic& traffic() const override { return traffic_; }

    void ask(const std::string& where, std::string body, duration timeout,
             reply_handler done) override {
        ++traffic_.messages_sent;
        traffic_.bytes_sent += body.size();
        const auto call = std::make_shared<reply_handler>(std::move(done));
        network_.loop.after(timeout, [call] {
            finish(call, make_error(result_code::peer_unreachable, "timeout"));
        });
        // Either side may be gone when the message arrives.
        deliver(where, [&network = network_, where, from = address_, self = self_,
                        body = std::move(body), call](sim_bus& to) {
            to.receive(body, self, [&network, where, from, call](const std::string& reply) {
                const auto answerer = network.buses.find(where);
                if (answerer != network.buses.end())
                    answerer->second->send_back(from, reply, call);
            });
        });
    }

private:
    static void finish(const std::shared_ptr<reply_handler>& call,
                       const absl::StatusOr<std::string>& reply) {
        if (*call == nullptr)
            return;
        const reply_handler done = std::exchange(*call, nullptr);
        done(reply);
    }

    void receive(const std::string& body, const incarnation_id& from,
                 std::function<void(std::string)> reply) {
        ++traffic_.messages_received;
        traffic_.bytes_received += body.size();
        if (handle_)
            handle_({from, ""}, body, std::move(reply));
    }

    void send_back(const std::string& where, const std::string& reply,
                   const std::shared_ptr<reply_handler>& call) {
        ++traffic_.messages_sent;
        traffic_.bytes_sent += reply.size();
        deliver(where, [reply, call](sim_bus&) { finish(call, reply); });
    }

    void deliver(const std::string& where, std::function<void(sim_bus&)> arrive) {
        network_.loop.after(network_.one_way, [&network = network_, from = address_, where,
                                               arrive = std::move(arrive)] {
            const auto to = network.buses.find(where);
            if (to != network.buses.end() && !network.is_cut(from, where))
                arrive(*to->second);
        });
    }

    sim_network& network_;
    std::string address_;
    incarnation_id self_;
    request_handler handle_;
    bus_traffic traffic_;
};

} // namespace figwinch
