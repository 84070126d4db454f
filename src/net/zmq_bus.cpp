#include "net/zmq_bus.h"

#include "figwinch/base/result_code.h"

#include <charconv>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t request_parts = 3; // route, envelope, body

std::uint16_t port_of(const std::string& endpoint) {
    const auto colon = endpoint.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(endpoint.data() + colon + 1, endpoint.data() + endpoint.size(), port);
    return port;
}

void send_reply(bus_context& context, zmq_stream& router, const std::string& route,
                std::uint64_t correlation, const std::string& body) {
    pb::Envelope envelope;
    envelope.set_protocol(envelope_protocol);
    envelope.set_correlation(correlation);
    envelope.set_is_reply(true);
    envelope.set_sender(context.self.str());
    zmq_parts parts;
    parts.emplace_back(route);
    parts.push_back(pack(envelope));
    parts.emplace_back(body);
    const std::size_t bytes = parts[1].size() + parts[2].size();
    if (!router.send(std::move(parts)))
        return; // the asker's queue is full: its ask times out
    ++context.traffic.messages_sent;
    context.traffic.bytes_sent += bytes;
}

} // namespace

absl::StatusOr<std::unique_ptr<bus>> bus::bind(event_loop& loop, const clock& time,
                                               const std::string& address, std::uint16_t port,
                                               incarnation_id self) {
    auto made = std::make_unique<zmq_bus>(loop, time, std::move(self));
    const absl::Status bound = made->bind(address, port);
    if (!bound.ok())
        return bound;
    return made;
}

zmq_bus::zmq_bus(event_loop& loop, const clock& time, incarnation_id self)
    : context_(std::make_shared<bus_context>(
          bus_context{loop, time, std::move(self), std::make_shared<zmq::context_t>(), {}, 0})) {}

zmq_bus::~zmq_bus() {
    if (router_)
        router_->stop();
}

absl::Status zmq_bus::bind(const std::string& address, std::uint16_t port) {
    router_ = std::make_shared<zmq_stream>(context_->loop, context_->zmq, zmq::socket_type::router);
    const std::string wanted = port == 0 ? "*" : std::to_string(port);
    const std::string where = address + ":" + wanted;
    try {
        router_->socket().bind("tcp://" + where);
    } catch (const zmq::error_t& error) {
        return make_error(result_code::setting_invalid,
                          "can't bind the bus to " + where + ": " + error.what());
    }
    port_ = port_of(router_->socket().get(zmq::sockopt::last_endpoint));
    router_->start([this](zmq_parts parts) { receive(std::move(parts)); }, nullptr);
    return absl::OkStatus();
}

void zmq_bus::ask(const std::string& where, std::string body, duration timeout,
                  reply_handler done) {
    std::shared_ptr<peer_link>& link = links_[where];
    if (!link)
        link = std::make_shared<peer_link>(context_, where);
    link->ask(std::move(body), timeout, std::move(done));
}

void zmq_bus::forget(const std::string& where) {
    const auto link = links_.extract(where);
    if (link.empty())
        return;
    link.mapped()->close();
    // The caller may be inside a call of this very link.
    context_->loop.post([kept = link.mapped()] { (void)kept; });
}

void zmq_bus::receive(zmq_parts parts) {
    if (parts.size() != request_parts)
        return;
    const auto envelope = unpack_envelope(parts[1]);
    if (!envelope.has_value() || envelope->is_reply())
        return;
    ++context_->traffic.messages_received;
    context_->traffic.bytes_received += parts[1].size() + parts[2].size();
    if (has_expired(*envelope, context_->time.now())) {
        ++context_->traffic.expired;
        return;
    }
    if (!handle_)
        return;
    const bus_sender sender{incarnation_id(envelope->sender()), parts[0].to_string()};
    handle_(sender, parts[2].to_string_view(), replier(sender.route, *envelope));
}

// A link that was silent delivers, when it comes back, what was sent minutes ago: a claim or a
// hand-over that its sender has given up since. The asker has long seen a timeout, so nobody waits
// for the reply, and acting on the message would be acting on an old state.
bool zmq_bus::has_expired(const pb::Envelope& envelope, instant now) {
    const auto known = ages_.find(envelope.sender());
    if (known == ages_.end())
        std::erase_if(ages_, [now](const auto& entry) { return entry.second.is_stale(now); });
    const instant sent{duration(envelope.sent_us())};
    const duration age = ages_[envelope.sender()].age(sent, now);
    return age > std::chrono::milliseconds(envelope.lifetime_ms());
}

std::function<void(std::string)> zmq_bus::replier(const std::string& route,
                                                  const pb::Envelope& envelope) const {
    const instant expires =
        context_->time.now() + std::chrono::milliseconds(envelope.lifetime_ms());
    auto replied = std::make_shared<bool>(false);
    return [context = context_, router = std::weak_ptr(router_), route, expires,
            replied = std::move(replied),
            correlation = envelope.correlation()](const std::string& body) {
        if (std::exchange(*replied, true))
            return;
        const auto open = router.lock();
        if (!open)
            return;
        if (context->time.now() > expires) {
            ++context->traffic.expired;
            return;
        }
        send_reply(*context, *open, route, correlation, body);
    };
}

} // namespace figwinch
