#include "figwinch/cell/step_down.h"

#include "step_down.pb.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace figwinch {
namespace {

// Upper bounds of what the encoding adds to a worker's id with its time, to a task's name, and to
// both lists.
constexpr std::size_t worker_row_overhead_bytes = 24;
constexpr std::size_t task_row_overhead_bytes = 12;
constexpr std::size_t message_overhead_bytes = 8;

/// Takes a row's bytes off what is left; returns whether it fitted.
bool take_bytes(std::size_t& left, std::size_t bytes) {
    if (bytes > left)
        return false;
    left -= bytes;
    return true;
}

} // namespace

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

std::vector<unresolved_worker> merge_by_worker(const std::vector<unresolved_worker>& workers) {
    std::vector<unresolved_worker> merged;
    absl::flat_hash_map<worker_id, std::size_t> positions;
    for (const unresolved_worker& row : workers) {
        const auto [position, added] = positions.try_emplace(row.id, merged.size());
        if (added) {
            merged.push_back(row);
            continue;
        }
        std::optional<duration>& known = merged[position->second].expires_in;
        known = known && row.expires_in ? std::optional(std::max(*known, *row.expires_in))
                                        : std::nullopt;
    }
    return merged;
}

/// The rows are merged first: a worker's row must not be left out if another one with a shorter
/// time stays.
std::string encode_outstanding_within(const outstanding_orders& orders, std::size_t max_bytes) {
    outstanding_orders fitting;
    std::size_t left = max_bytes - std::min(max_bytes, message_overhead_bytes);
    for (const unresolved_worker& row : merge_by_worker(orders.unresolved_workers))
        if (row.expires_in && take_bytes(left, row.id.str().size() + worker_row_overhead_bytes))
            fitting.unresolved_workers.push_back(row);
    for (const std::string& name : orders.not_ordered)
        if (take_bytes(left, name.size() + task_row_overhead_bytes))
            fitting.not_ordered.push_back(name);
    return encode_outstanding(fitting);
}

} // namespace figwinch
