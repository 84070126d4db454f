#pragma once

#include "figwinch/link.h"
#include "figwinch/simulation/sim_time.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace figwinch::sim {

/// The bus between the hosts of a cell, in simulated time. A host that has no power, is frozen or
/// cut off neither gets nor sends anything; what waits for longer than its asker is dropped.
class sim_peers {
public:
    using taker = std::function<void(std::string_view, std::function<void(std::string)> reply)>;
    struct host {
        taker take;
        std::function<bool()> is_frozen;
        bool cut = false;
    };

    explicit sim_peers(sim_time& time) : time_(time) {}

    void join(const std::string& address, host joined) { hosts_[address] = std::move(joined); }
    void leave(const std::string& address) { hosts_.erase(address); }
    void cut(const std::string& address, bool is_cut) {
        if (const auto known = hosts_.find(address); known != hosts_.end())
            known->second.cut = is_cut;
    }
    bool reaches(const std::string& from, const std::string& to) const {
        return is_up(from) && is_up(to);
    }
    /// Delivers once the host isn't frozen, unless that is after `until`.
    void deliver(const std::string& from, const std::string& to, instant until,
                 std::function<void(host&)> arrive) {
        time_.after(way, [=, this, arrive = std::move(arrive)] {
            if (!reaches(from, to) || time_.now() > until)
                return;
            host& at = hosts_.at(to);
            if (at.is_frozen())
                return deliver(from, to, until, arrive);
            arrive(at);
        });
    }

private:
    static constexpr duration way = std::chrono::milliseconds(1);

    bool is_up(const std::string& address) const {
        const auto known = hosts_.find(address);
        return known != hosts_.end() && !known->second.cut;
    }

    sim_time& time_;
    std::map<std::string, host> hosts_;
};

/// One host's way to the others. Without a bus nobody answers.
class sim_asker final : public peer_client {
public:
    sim_asker(sim_time& time, sim_peers* peers, std::string self)
        : time_(time), peers_(peers), self_(std::move(self)) {}

    void ask(const std::string& where, std::string body, duration timeout, handler done) override {
        const auto asked = std::make_shared<bool>(true);
        const auto end = [asked, done = std::move(done),
                          alive = std::weak_ptr(alive_)](const std::optional<std::string>& reply) {
            if (!alive.expired() && std::exchange(*asked, false))
                done(reply);
        };
        const instant until = time_.now() + timeout;
        time_.after(timeout, [end] { end(std::nullopt); });
        if (peers_ == nullptr)
            return;
        peers_->deliver(
            self_, where, until,
            [=, peers = peers_, self = self_, body = std::move(body)](sim_peers::host& at) {
                at.take(body, [=](const std::string& reply) {
                    peers->deliver(where, self, until,
                                   [end, reply](sim_peers::host&) { end(reply); });
                });
            });
    }
    void kill() { alive_.reset(); }

private:
    sim_time& time_;
    sim_peers* peers_;
    std::string self_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
