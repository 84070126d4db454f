#pragma once

#include "figwinch/net.h"
#include "log/http_log_client.h"

#include <functional>
#include <memory>

namespace figwinch {

/// A connection to the platform's log for one command.
class log_session {
public:
    log_session(const endpoint& log, node_id self);

    log_client& log() { return log_; }
    const clock& time() const { return time_; }

    /// Calls `tick` every few milliseconds until it returns true or `limit` has passed. Returns
    /// whether it returned true.
    bool run(duration limit, const std::function<bool(instant)>& tick);

private:
    system_clock time_;
    event_loop loop_;
    std::unique_ptr<http_client> http_;
    http_log_client log_;
};

} // namespace figwinch
