#pragma once

#include "figwinch/link.h"
#include "figwinch/net.h"

namespace figwinch {

/// Sends requests to other hosts over the bus. Requests made before the bus is set fail. Owned by
/// `cell_host`.
class bus_asker final : public peer_client {
public:
    explicit bus_asker(event_loop& loop) : loop_(loop) {}

    /// Sets the bus, which must outlive this object.
    void set_bus(bus& peers) { peers_ = &peers; }
    void ask(const std::string& where, std::string body, duration timeout, handler done) override;

private:
    event_loop& loop_;
    bus* peers_ = nullptr;
};

} // namespace figwinch
