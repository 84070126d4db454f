#pragma once

#include "figwinch/cell.h"

#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// Passes a coordinator's orders on to workers, and what they came to back. Decides nothing: it
/// serves the session of the highest epoch that it has seen, and drops orders to start that it
/// couldn't send at once. Owned by `cell_host`.
class link_server {
public:
    /// `orders` outlives it.
    link_server(const clock& time, worker_orders& orders);
    ~link_server();
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;

    /// Takes an exchange of a coordinator; returns the reply.
    std::string exchange(std::string_view bytes);
    /// Orders passed on since the start.
    std::uint64_t passed_on() const { return passed_on_; }

private:
    class session;

    const clock& time_;
    worker_orders& orders_;
    std::shared_ptr<session> session_;
    std::uint64_t passed_on_ = 0;
};

} // namespace figwinch
