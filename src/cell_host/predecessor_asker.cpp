#include "cell_host/predecessor_asker.h"

#include <utility>

namespace figwinch {
namespace {

// Some round trips between data centres, with a list of workers on a narrow link.
constexpr duration patience = std::chrono::milliseconds(400);
constexpr duration period = std::chrono::milliseconds(200);

} // namespace

predecessor_asker::predecessor_asker(const clock& time, peer_client& peers,
                                     const reign_view& predecessor, lease_epoch epoch,
                                     instant acts_until,
                                     std::function<void(const outstanding_orders&)> take)
    : time_(time), peers_(peers), where_(predecessor.bus_address),
      message_(encode_peer_message(
          peer_message::step_down,
          encode_step_down_request({predecessor.holder, predecessor.epoch, epoch}))),
      acts_until_(acts_until), take_(std::move(take)) {}

void predecessor_asker::tick() {
    const instant now = time_.now();
    if (answered_ || in_flight_ || now < next_ask_ || now > acts_until_)
        return;
    in_flight_ = true;
    next_ask_ = now + period;
    peers_.ask(where_, message_, patience,
               [this, weak = std::weak_ptr(alive_)](const std::optional<std::string>& bytes) {
                   if (!weak.expired())
                       take_reply(bytes);
               });
}

void predecessor_asker::take_reply(const std::optional<std::string>& bytes) {
    in_flight_ = false;
    const std::optional<outstanding_orders> orders =
        bytes ? decode_outstanding(*bytes) : std::nullopt;
    if (!orders)
        return;
    answered_ = true;
    take_(*orders);
}

} // namespace figwinch
