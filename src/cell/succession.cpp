#include "figwinch/cell/succession.h"

#include "succession.pb.h"

namespace figwinch {

std::string encode_succession_question(const succession_question& question) {
    pb::SuccessionQuestion message;
    message.set_holder(question.holder.str());
    message.set_epoch(question.epoch.value());
    message.set_successor(question.successor.value());
    return message.SerializeAsString();
}

std::optional<succession_question> decode_succession_question(std::string_view bytes) {
    pb::SuccessionQuestion message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        message.holder().empty())
        return std::nullopt;
    return succession_question{incarnation_id(message.holder()), lease_epoch(message.epoch()),
                               lease_epoch(message.successor())};
}

std::string encode_estate(const std::optional<reign_estate>& estate) {
    pb::SuccessionAnswer message;
    message.set_ended(estate.has_value());
    if (!estate)
        return message.SerializeAsString();
    for (const held_worker& worker : estate->held) {
        pb::HeldWorker& row = *message.add_held();
        row.set_id(worker.id.str());
        if (worker.left)
            row.set_left_ms(
                static_cast<std::uint64_t>(*worker.left / std::chrono::milliseconds(1)) + 1);
    }
    for (const std::string& task : estate->not_ordered)
        message.add_not_ordered(task);
    return message.SerializeAsString();
}

std::optional<reign_estate> decode_estate(std::string_view bytes) {
    pb::SuccessionAnswer message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || !message.ended())
        return std::nullopt;
    reign_estate estate;
    for (const pb::HeldWorker& row : message.held()) {
        held_worker& worker = estate.held.emplace_back();
        worker.id = worker_id(row.id());
        if (row.has_left_ms())
            worker.left = std::chrono::milliseconds(row.left_ms());
    }
    estate.not_ordered.assign(message.not_ordered().begin(), message.not_ordered().end());
    return estate;
}

} // namespace figwinch
