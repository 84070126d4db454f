#pragma once

#include "figwinch/link.h"
#include "figwinch/net.h"

namespace figwinch {

/// `peer_client` over the bus, once there is one. Owned by `cell_host`.
class bus_asker final : public peer_client {
public:
    explicit bus_asker(event_loop& loop) : loop_(loop) {}

    /// `peers` outlives it.
    void use(bus& peers) { peers_ = &peers; }
    void ask(const std::string& where, std::string body, duration timeout, handler done) override;

private:
    event_loop& loop_;
    bus* peers_ = nullptr;
};

} // namespace figwinch
