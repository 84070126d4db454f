#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <string>

namespace figwinch {

/// Sends requests to other hosts of the cell. Implemented over the bus and by fakes in tests.
class peer_client {
public:
    /// Gets the reply's bytes, or nothing if no reply arrived within the timeout.
    using handler = std::function<void(const std::optional<std::string>&)>;

    virtual ~peer_client() = default;
    /// Sends `body` to the host at bus address `where`. Calls `done` exactly once, within `timeout`
    /// and never before `ask` has returned.
    virtual void ask(const std::string& where, std::string body, duration timeout,
                     handler done) = 0;
};

} // namespace figwinch
