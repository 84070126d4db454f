#pragma once

#include "figwinch/cell.h"

#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// The relay's end of sessions: forwards a coordinator's orders to workers and returns the results.
/// Makes no scheduling decisions. Serves only the newest session of the highest epoch that it has
/// seen, and drops start orders that it could not send within `max_unsent_time`. Owned by
/// `cell_member`.
class relay_server {
public:
    /// `orders` calls the workers; it must outlive this object.
    relay_server(const clock& time, worker_orders& orders);
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// Handles an encoded `LinkExchange` from a coordinator; returns the encoded `LinkReply`.
    std::string handle_exchange(std::string_view bytes);
    /// Number of orders forwarded since this object was created.
    std::uint64_t orders_forwarded() const { return orders_forwarded_; }

private:
    class session;

    const clock& time_;
    worker_orders& orders_;
    std::shared_ptr<session> session_;
    std::uint64_t orders_forwarded_ = 0;
};

} // namespace figwinch
