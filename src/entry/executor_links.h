#pragma once

#include "figwinch/net.h"
#include "figwinch/routing.h"

#include <map>
#include <memory>

namespace figwinch {

/// Connections to the executors that this entry owns, and their health checks. Owned by the daemon.
class executor_links {
public:
    using call_handler = std::function<void(dispatch_end, http_response)>;

    executor_links(event_loop& loop, const clock& time, executor_pool& pool);

    /// Opens and closes links after the pool's owned executors have changed.
    void sync();
    /// Sends a request to an executor of which a slot is taken, and gives the slot back when the
    /// call has ended. Calls back exactly once.
    void call(const executor_id& name, const http_request& message, const request_id& request,
              const customer_id& customer, duration timeout, call_handler done);
    /// Asks every owned executor for its health.
    void check_health();
    /// Closes connections that have been idle for long.
    void close_idle();
    std::size_t links() const { return links_.size(); }

private:
    struct link {
        executor_spec spec;
        std::unique_ptr<http_client> client;
        /// Calls that have not ended; a client must outlive them.
        int open_calls = 0;
        bool owned = true;
        bool checking = false;
    };

    void note_checked(const executor_id& name, const call_result& result);
    void end_call(const executor_id& name);

    event_loop& loop_;
    const clock& time_;
    executor_pool& pool_;
    std::map<executor_id, link> links_;
};

} // namespace figwinch
