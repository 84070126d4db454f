#include "cell_host/handover_codec.h"

#include "handover.pb.h"

#include <array>
#include <utility>

namespace figwinch {
namespace {

using kind = handover_result::kind;

constexpr std::array outcomes = {
    std::pair{kind::stored, pb::HANDOVER_STORED},
    std::pair{kind::not_stored, pb::HANDOVER_NOT_STORED},
    std::pair{kind::not_taken, pb::HANDOVER_NOT_TAKEN},
    std::pair{kind::unknown, pb::HANDOVER_UNKNOWN},
    std::pair{kind::rejected, pb::HANDOVER_REJECTED},
};

bool parse(google::protobuf::MessageLite& into, std::string_view bytes) {
    return into.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encode_handover(const handover& handed) {
    pb::HandoverRequest request;
    request.set_patience_ms(handed.timeout / std::chrono::milliseconds(1));
    for (const stored_record& record : handed.records) {
        pb::HandoverRecord& row = *request.add_records();
        row.set_key(record.key);
        if (record.value)
            row.set_value(*record.value);
    }
    return request.SerializeAsString();
}

std::optional<handover> decode_handover(std::string_view bytes) {
    pb::HandoverRequest request;
    if (!parse(request, bytes))
        return std::nullopt;
    handover handed;
    handed.timeout = std::chrono::milliseconds(request.patience_ms());
    for (const pb::HandoverRecord& row : request.records()) {
        stored_record record{row.key(), std::nullopt, 0};
        if (row.has_value())
            record.value = row.value();
        handed.records.push_back(std::move(record));
    }
    return handed;
}

std::string encode_handover_result(const handover_result& result) {
    pb::HandoverReply reply;
    for (const auto& [ours, theirs] : outcomes)
        if (ours == result.outcome)
            reply.set_outcome(theirs);
    reply.set_offset(result.offset);
    reply.set_append_us(result.writer_latency / std::chrono::microseconds(1));
    return reply.SerializeAsString();
}

handover_result decode_handover_result(std::string_view bytes) {
    pb::HandoverReply reply;
    handover_result result;
    if (!parse(reply, bytes))
        return result;
    for (const auto& [ours, theirs] : outcomes)
        if (theirs == reply.outcome())
            result.outcome = ours;
    result.offset = reply.offset();
    result.writer_latency = std::chrono::microseconds(reply.append_us());
    return result;
}

std::string encode_probe_reply() {
    pb::HandoverReply reply;
    reply.set_outcome(pb::HANDOVER_PRESENT);
    return reply.SerializeAsString();
}

} // namespace figwinch
