#include "figwinch/link/link_server.h"

#include "link/link_session.h"

namespace figwinch {

link_server::link_server(const clock& time, worker_orders& orders) : time_(time), orders_(orders) {}

link_server::~link_server() = default;

std::string link_server::exchange(std::string_view bytes) {
    pb::LinkExchange message;
    pb::LinkReply refusal;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return refusal.SerializeAsString();
    const lease_epoch epoch(message.epoch());
    const bool begins = message.number() == 1 && (!session_ || epoch >= session_->epoch());
    if (begins)
        session_ = std::make_shared<session>(time_, orders_, message.session(), epoch);
    if (!session_ || !session_->continues(message))
        return refusal.SerializeAsString();
    passed_on_ += static_cast<std::uint64_t>(message.orders_size());
    session_->take(message);
    return session_->take_results().SerializeAsString();
}

} // namespace figwinch
