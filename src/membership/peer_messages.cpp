#include "membership/peer_messages.h"

#include "figwinch/base/result_code.h"

namespace figwinch {
namespace {

constexpr const char* entry_role = "entry";
constexpr const char* scheduler_role = "scheduler";

} // namespace

pb::MemberInfo to_message(const member& value) {
    pb::MemberInfo message;
    message.set_node(value.node.str());
    message.set_incarnation(value.incarnation.str());
    message.set_role(value.role == member_role::entry ? entry_role : scheduler_role);
    message.set_data_centre(value.data_centre.str());
    message.set_address(value.address);
    message.set_leaving(value.state == member_state::leaving);
    return message;
}

std::optional<member> from_message(const pb::MemberInfo& message) {
    const bool has_role = message.role() == entry_role || message.role() == scheduler_role;
    if (message.node().empty() || message.incarnation().empty() || message.address().empty() ||
        !has_role)
        return std::nullopt;
    member value;
    value.node = node_id(message.node());
    value.incarnation = incarnation_id(message.incarnation());
    value.role = message.role() == entry_role ? member_role::entry : member_role::scheduler;
    value.data_centre = data_centre_id(message.data_centre());
    value.address = message.address();
    value.state = message.leaving() ? member_state::leaving : member_state::live;
    return value;
}

pb::PeerReply error_reply(const absl::Status& error) {
    pb::PeerReply reply;
    reply.set_code(number(code_of(error)));
    reply.set_reason(std::string(error.message()));
    return reply;
}

} // namespace figwinch
