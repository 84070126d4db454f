#include "cell_host/predecessor_asker.h"

#include <utility>

namespace figwinch {
namespace {

// Allows several round trips between data centres and a list of workers sent over a narrow link.
constexpr duration request_timeout = std::chrono::milliseconds(400);
constexpr duration retry_period = std::chrono::milliseconds(200);

} // namespace

predecessor_asker::predecessor_asker(const clock& time, peer_client& peers,
                                     const leader_info& predecessor, lease_epoch epoch,
                                     instant acts_until,
                                     std::function<void(const outstanding_orders&)> on_answer)
    : time_(time), peers_(peers), address_(predecessor.bus_address),
      message_(encode_peer_message(
          peer_message::step_down,
          encode_step_down_request({predecessor.holder, predecessor.epoch, epoch}))),
      acts_until_(acts_until), on_answer_(std::move(on_answer)) {}

void predecessor_asker::tick() {
    const instant now = time_.now();
    if (answered_ || in_flight_ || now < next_ask_ || now > acts_until_)
        return;
    in_flight_ = true;
    next_ask_ = now + retry_period;
    peers_.ask(address_, message_, request_timeout,
               [this, weak = std::weak_ptr(alive_)](const std::optional<std::string>& bytes) {
                   if (!weak.expired())
                       handle_reply(bytes);
               });
}

void predecessor_asker::handle_reply(const std::optional<std::string>& bytes) {
    in_flight_ = false;
    const std::optional<outstanding_orders> orders =
        bytes ? decode_outstanding(*bytes) : std::nullopt;
    if (!orders)
        return;
    answered_ = true;
    on_answer_(*orders);
}

} // namespace figwinch
