#pragma once

#include "figwinch/link.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace figwinch {

/// Simulates the other hosts of a cell, by bus address. Requests wait until a test delivers them.
class fake_peers final : public peer_client {
public:
    /// Computes a host's reply to a request. A host without an entry does not reply.
    std::map<std::string, std::function<std::string(std::string_view)>> hosts;
    std::size_t asked = 0;
    std::size_t bytes = 0;

    void ask(const std::string& where, std::string body, duration, handler done) override {
        ++asked;
        bytes += body.size();
        waiting_.push_back({where, std::move(body), std::move(done)});
    }
    /// Delivers all waiting requests; those to hosts without an entry end as if timed out.
    void deliver() {
        for (const waiting_ask& one : std::exchange(waiting_, {})) {
            const auto host = hosts.find(one.where);
            if (host == hosts.end())
                one.done(std::nullopt);
            else
                one.done(host->second(std::string_view(one.body).substr(1)));
        }
    }

private:
    struct waiting_ask {
        std::string where;
        std::string body;
        handler done;
    };
    std::deque<waiting_ask> waiting_;
};

} // namespace figwinch
