#include "figwinch/cell/step_down.h"

#include "step_down.pb.h"

namespace figwinch {

std::string encode_step_down_request(const step_down_request& request) {
    pb::StepDownRequest message;
    message.set_holder(request.holder.str());
    message.set_epoch(request.epoch.value());
    message.set_successor(request.successor.value());
    return message.SerializeAsString();
}

std::optional<step_down_request> decode_step_down_request(std::string_view bytes) {
    pb::StepDownRequest message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.holder().empty())
        return std::nullopt;
    return step_down_request{incarnation_id(message.holder()), lease_epoch(message.epoch()),
                             lease_epoch(message.successor())};
}

std::string encode_outstanding(const std::optional<outstanding_orders>& orders) {
    pb::StepDownReply message;
    message.set_ended(orders.has_value());
    if (!orders)
        return message.SerializeAsString();
    for (const unresolved_worker& worker : orders->unresolved_workers) {
        pb::HeldWorker& row = *message.add_held();
        row.set_id(worker.id.str());
        if (worker.expires_in)
            row.set_left_ms(
                static_cast<std::uint64_t>(*worker.expires_in / std::chrono::milliseconds(1)) + 1);
    }
    for (const std::string& task : orders->not_ordered)
        message.add_not_ordered(task);
    return message.SerializeAsString();
}

std::optional<outstanding_orders> decode_outstanding(std::string_view bytes) {
    pb::StepDownReply message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !message.ended())
        return std::nullopt;
    outstanding_orders orders;
    for (const pb::HeldWorker& row : message.held()) {
        unresolved_worker& worker = orders.unresolved_workers.emplace_back();
        worker.id = worker_id(row.id());
        if (row.has_left_ms())
            worker.expires_in = std::chrono::milliseconds(row.left_ms());
    }
    orders.not_ordered.assign(message.not_ordered().begin(), message.not_ordered().end());
    return orders;
}

} // namespace figwinch
