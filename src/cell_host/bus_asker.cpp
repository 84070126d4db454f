#include "cell_host/bus_asker.h"

namespace figwinch {

void bus_asker::ask(const std::string& where, std::string body, duration timeout, handler done) {
    if (peers_ == nullptr)
        return loop_.post([done = std::move(done)] { done(std::nullopt); });
    peers_->ask(where, std::move(body), timeout,
                [done = std::move(done)](const absl::StatusOr<std::string>& reply) {
                    done(reply.ok() ? std::optional(*reply) : std::nullopt);
                });
}

} // namespace figwinch
