#pragma once

#include "figwinch/cell.h"

#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// The relay's end of sessions: forwards a coordinator's orders to workers and returns the results.
/// Makes no scheduling decisions. Serves only the newest session of the highest epoch that it has
/// seen, and drops start orders that it could not send within `longest_unsent`. Owned by
/// `cell_member`.
class link_server {
public:
    /// `orders` calls the workers; it must outlive this object.
    link_server(const clock& time, worker_orders& orders);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

    /// Handles an encoded `LinkExchange` from a coordinator; returns the encoded `LinkReply`.
    std::string exchange(std::string_view bytes);
    /// Number of orders forwarded since this object was created.
    std::uint64_t passed_on() const { return passed_on_; }

private:
    class session;

    const clock& time_;
    worker_orders& orders_;
    std::shared_ptr<session> session_;
    std::uint64_t passed_on_ = 0;
};

} // namespace figwinch
