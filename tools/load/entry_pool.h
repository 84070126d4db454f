#pragma once

#include "figwinch/net.h"

#include <vector>

namespace figwinch::load {

/// The entries, asked in turn as the platform's balancer would. Owned by the run.
class entry_pool {
public:
    entry_pool(event_loop& loop, const std::vector<endpoint>& entries);

    /// Calls back exactly once, within `timeout`.
    void call(http_request request, duration timeout, http_client::callback done);

private:
    std::vector<std::unique_ptr<http_client>> clients_;
    std::size_t next_ = 0;
    std::unique_ptr<event_handle> closing_;
};

} // namespace figwinch::load
