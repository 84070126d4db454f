#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <string>

namespace figwinch {

/// Asks another host of the cell. Implemented over the bus and by fakes in tests.
class peer_asker {
public:
    /// Gets nothing when no reply came in time.
    using handler = std::function<void(const std::optional<std::string>&)>;

    virtual ~peer_asker() = default;
    /// `where`: a bus address. Calls back once, within `timeout`, never from inside the call.
    virtual void ask(const std::string& where, std::string body, duration timeout,
                     handler done) = 0;
};

} // namespace figwinch
