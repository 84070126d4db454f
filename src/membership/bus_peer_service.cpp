#include "membership/bus_peer_service.h"

#include "figwinch/base/result_code.h"
#include "membership/peer_messages.h"

#include <algorithm>
#include <set>

namespace figwinch {
namespace {

constexpr int ticks_per_period = 5;
/// A change of a member is passed on for this many heartbeat periods.
constexpr int known_periods = 20;
/// Peers that don't answer are asked less often, down to one in this many periods.
constexpr int max_backoff_periods = 8;
/// Members named in one heartbeat.
constexpr int max_known = 64;

membership_limits limits_of(const peer_settings& settings) {
    membership_limits limits;
    limits.suspect_after = settings.suspect_after;
    limits.dead_after = settings.dead_after;
    limits.own_pause = settings.suspect_after / 2;
    return limits;
}

} // namespace

bus_peer_service::bus_peer_service(const clock& time, bus& messages, peer_settings settings)
    : time_(time), bus_(messages), settings_(std::move(settings)),
      table_(settings_.self.node, limits_of(settings_)) {
    bus_.on_request(
        [this, alive = std::weak_ptr<bool>(alive_)](const bus_sender& from, std::string_view body,
                                                    std::function<void(std::string)> reply) {
            if (!alive.expired())
                take_request(from, body, std::move(reply));
        });
    update_contacts();
}

duration bus_peer_service::tick_period() const {
    return settings_.heartbeat_period / ticks_per_period;
}

void bus_peer_service::tick(instant now) {
    announce(table_.advance(now));
    for (auto& [address, to] : contacts_) {
        if (is_due(to, now))
            ask_heartbeat(address, to, now);
    }
}

// Both sides of a pair learn from each exchange, so that each needs to ask only every second period
// while the other asks in between; that halves the messages of a large cluster.
bool bus_peer_service::is_due(const contact& to, instant now) const {
    if (to.is_self)
        return false;
    if (!to.was_asked)
        return true;
    const duration period = settings_.heartbeat_period;
    const bool was_asked_by = now - to.asked_by_at < period;
    const int periods = to.unanswered > 0 ? std::clamp(to.unanswered / 2, 1, max_backoff_periods)
                                          : (was_asked_by ? 2 : 1);
    return now - to.asked_at >= period * periods;
}

void bus_peer_service::ask_heartbeat(const std::string& address, contact& to, instant now) {
    to.was_asked = true;
    to.asked_at = now;
    ++to.unanswered;
    pb::PeerRequest request;
    *request.mutable_heartbeat() = describe();
    ask(address, std::move(request), 2 * settings_.heartbeat_period,
        [this, address, now](const absl::StatusOr<pb::PeerReply>& reply) {
            take_answer(address, reply, now);
        });
}

void bus_peer_service::take_answer(const std::string& address,
                                   const absl::StatusOr<pb::PeerReply>& reply, instant asked_at) {
    if (!reply.ok() || !reply->has_heartbeat())
        return;
    const auto to = contacts_.find(address);
    if (to != contacts_.end()) {
        to->second.unanswered = 0;
        to->second.was_heard = true;
        // A list of seeds may name this process itself.
        to->second.is_self =
            reply->heartbeat().self().incarnation() == settings_.self.incarnation.str();
    }
    take_heartbeat(reply->heartbeat(), asked_at);
}

void bus_peer_service::take_request(const bus_sender& from, std::string_view body,
                                    std::function<void(std::string)> reply) {
    const auto answer = [reply = std::move(reply)](const pb::PeerReply& message) {
        reply(message.SerializeAsString());
    };
    pb::PeerRequest request;
    if (!request.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        answer(error_reply(make_error(result_code::malformed_request, "not a peer request")));
        return;
    }
    const auto handler = handlers_.find(request.body_case());
    const bool is_heartbeat = request.has_heartbeat();
    if (request.protocol() != peer_protocol || (!is_heartbeat && handler == handlers_.end())) {
        answer(error_reply(make_error(result_code::peer_version,
                                      "this process does not know this kind of request")));
        return;
    }
    if (!is_heartbeat) {
        handler->second(from.from, request, answer);
        return;
    }
    pb::Heartbeat heartbeat = request.heartbeat();
    const auto to = contacts_.find(heartbeat.self().address());
    if (to != contacts_.end()) {
        to->second.asked_by_at = time_.now();
        to->second.was_heard = true;
    }
    // How long the message was under way can't be known, so that the age in it proves nothing.
    heartbeat.set_config_age_ms(-1);
    take_heartbeat(heartbeat, time_.now());
    pb::PeerReply message;
    *message.mutable_heartbeat() = describe();
    answer(message);
}

void bus_peer_service::take_heartbeat(const pb::Heartbeat& heartbeat, instant asked_at) {
    const std::optional<member> from = from_message(heartbeat.self());
    if (!from.has_value())
        return;
    const instant now = time_.now();
    bool changed = table_.hear(*from, now);
    for (const pb::MemberInfo& info : heartbeat.known()) {
        const std::optional<member> about = from_message(info);
        if (about.has_value())
            changed = table_.learn(*about, now) || changed;
    }
    const member* seen = table_.find(from->node);
    // Heartbeats of replaced incarnations and of this process itself end here.
    if (seen != nullptr && seen->incarnation == from->incarnation) {
        for (const auto& call : on_heartbeat_)
            call(*seen, heartbeat, asked_at);
    }
    announce(changed);
}

void bus_peer_service::update_contacts() {
    std::set<std::string> wanted(settings_.seeds.begin(), settings_.seeds.end());
    for (const member& each : table_.members())
        wanted.insert(each.address);
    wanted.erase(settings_.self.address);
    for (auto next = contacts_.begin(); next != contacts_.end();) {
        if (wanted.contains(next->first)) {
            ++next;
            continue;
        }
        bus_.forget(next->first);
        next = contacts_.erase(next);
    }
    for (const std::string& address : wanted)
        contacts_.try_emplace(address);
}

pb::Heartbeat bus_peer_service::describe() const {
    pb::Heartbeat heartbeat;
    *heartbeat.mutable_self() = to_message(settings_.self);
    heartbeat.set_config_age_ms(-1);
    for (const auto& call : describe_with_)
        call(heartbeat);
    const instant since = time_.now() - settings_.heartbeat_period * known_periods;
    for (const member& each : table_.changed_since(since)) {
        if (heartbeat.known_size() == max_known)
            break;
        *heartbeat.add_known() = to_message(each);
    }
    return heartbeat;
}

void bus_peer_service::announce(bool changed) {
    if (!changed)
        return;
    update_contacts();
    for (const auto& call : on_change_)
        call();
}

// Counted in asks: a process that was frozen or starved at its start hasn't listened meanwhile.
bool bus_peer_service::is_settled(const contact& to) const {
    const auto asks_in_vain = settings_.suspect_after / settings_.heartbeat_period;
    return to.was_heard || to.unanswered > asks_in_vain;
}

bool bus_peer_service::has_settled() const {
    return std::ranges::all_of(settings_.seeds, [this](const std::string& seed) {
        const auto to = contacts_.find(seed);
        return to == contacts_.end() || is_settled(to->second);
    });
}

void bus_peer_service::handle(pb::PeerRequest::BodyCase kind, request_handler call) {
    handlers_[kind] = std::move(call);
}

void bus_peer_service::ask(const std::string& address, pb::PeerRequest request, duration timeout,
                           reply_handler done) {
    request.set_protocol(peer_protocol);
    bus_.ask(
        address, request.SerializeAsString(), timeout,
        [done = std::move(done),
         alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<std::string>& body) {
            if (alive.expired())
                return;
            pb::PeerReply reply;
            if (!body.ok())
                done(body.status());
            else if (!reply.ParseFromString(*body))
                done(make_error(result_code::peer_version, "not a peer reply"));
            else if (reply.code() != 0)
                done(make_error(info(static_cast<result_code>(reply.code())).code, reply.reason()));
            else
                done(std::move(reply));
        });
}

void bus_peer_service::on_change(std::function<void()> call) {
    on_change_.push_back(std::move(call));
}

void bus_peer_service::describe_with(std::function<void(pb::Heartbeat&)> call) {
    describe_with_.push_back(std::move(call));
}

void bus_peer_service::on_heartbeat(
    std::function<void(const member&, const pb::Heartbeat&, instant asked_at)> call) {
    on_heartbeat_.push_back(std::move(call));
}

void bus_peer_service::start_leaving() {
    settings_.self.state = member_state::leaving;
    const instant now = time_.now();
    for (auto& [address, to] : contacts_) {
        if (!to.is_self)
            ask_heartbeat(address, to, now);
    }
}

} // namespace figwinch
