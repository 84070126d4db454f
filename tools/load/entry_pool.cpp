#include "tools/load/entry_pool.h"

#include <utility>

namespace figwinch::load {
namespace {

constexpr std::size_t connections_per_entry = 2000;
// Shorter than the entries' own limit, so that this side closes first.
constexpr duration idle_limit = std::chrono::seconds(5);

} // namespace

entry_pool::entry_pool(event_loop& loop, const std::vector<endpoint>& entries) {
    for (const endpoint& entry : entries)
        clients_.push_back(http_client::create(loop, entry, connections_per_entry));
    closing_ = loop.every(std::chrono::seconds(1), [this] {
        for (const auto& client : clients_)
            client->close_idle(idle_limit);
    });
}

void entry_pool::call(http_request request, duration timeout, http_client::callback done) {
    http_client& client = *clients_[next_];
    next_ = (next_ + 1) % clients_.size();
    client.call(std::move(request), timeout, std::move(done));
}

} // namespace figwinch::load
