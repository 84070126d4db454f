#include "figwinch/link/relay_server.h"

#include "link/relay_session.h"

namespace figwinch {

relay_server::relay_server(const clock& time, worker_orders& orders)
    : time_(time), orders_(orders) {}

relay_server::~relay_server() = default;

std::string relay_server::handle_exchange(std::string_view bytes) {
    pb::LinkExchange message;
    pb::LinkReply refusal;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refusal.SerializeAsString();
    const lease_epoch epoch(message.epoch());
    const bool begins = message.number() == 1 && (!session_ || epoch >= session_->epoch());
    if (begins)
        session_ = std::make_shared<session>(time_, orders_, message.session(), epoch);
    if (!session_ || !session_->is_next(message))
        return refusal.SerializeAsString();
    orders_forwarded_ += static_cast<std::uint64_t>(message.orders_size());
    session_->apply(message);
    return session_->drain_results().SerializeAsString();
}

} // namespace figwinch
