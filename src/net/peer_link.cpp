#include "net/peer_link.h"

#include "figwinch/base/result_code.h"
#include "net/envelope.h"

#include <utility>

namespace figwinch {
namespace {

// Something between the two ends can lose track of a connection: it then swallows everything
// while a new connection works.
constexpr int timeouts_before_new_connection = 3;
constexpr std::size_t max_open_asks = 4096;

} // namespace

peer_link::peer_link(std::shared_ptr<bus_context> context, std::string where)
    : context_(std::move(context)), where_(std::move(where)) {}

peer_link::~peer_link() {
    if (stream_)
        stream_->stop();
}

void peer_link::connect() {
    if (stream_)
        stream_->stop();
    silent_timeouts_ = 0;
    ++connection_;
    stream_ = std::make_shared<zmq_stream>(context_->loop, context_->zmq, zmq::socket_type::dealer);
    try {
        stream_->socket().connect("tcp://" + where_);
    } catch (const zmq::error_t&) {
        return; // not an address: every ask runs into its timeout
    }
    stream_->start([this](const zmq_parts& parts) { receive(parts); }, [this] { flush(); });
}

void peer_link::ask(std::string body, duration timeout, bus::reply_handler done) {
    if (open_.size() >= max_open_asks) {
        context_->loop.post(
            [status = unreachable("too many open asks"), done = std::move(done)] { done(status); });
        return;
    }
    if (!stream_)
        connect();
    const std::uint64_t correlation = ++context_->last_correlation;
    open_ask& entry = open_[correlation];
    entry.body = std::move(body);
    entry.timeout = timeout;
    entry.asked_at = context_->time.now();
    entry.done = std::move(done);
    entry.timer = context_->loop.after(timeout, [this, correlation] { time_out(correlation); });
    unsent_.push_back(correlation);
    stream_->schedule();
}

void peer_link::flush() {
    while (!unsent_.empty()) {
        const auto entry = open_.find(unsent_.front());
        const bool is_open = entry != open_.end();
        if (is_open && !send(entry->first, entry->second))
            return;
        if (is_open)
            entry->second.sent_on = connection_;
        unsent_.pop_front();
    }
}

bool peer_link::send(std::uint64_t correlation, const open_ask& ask) {
    const instant now = context_->time.now();
    const duration left = ask.timeout - (now - ask.asked_at);
    if (left <= duration::zero())
        return true; // its timer is about to end it
    pb::Envelope envelope;
    envelope.set_protocol(envelope_protocol);
    envelope.set_correlation(correlation);
    envelope.set_sender(context_->self.str());
    const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    envelope.set_lifetime_ms(static_cast<std::uint32_t>(left_ms));
    envelope.set_sent_us(now.time_since_epoch().count());
    zmq_parts parts;
    parts.push_back(pack(envelope));
    parts.emplace_back(ask.body);
    const std::size_t bytes = parts[0].size() + parts[1].size();
    if (!stream_->send(std::move(parts)))
        return false;
    ++context_->traffic.messages_sent;
    context_->traffic.bytes_sent += bytes;
    return true;
}

void peer_link::receive(const zmq_parts& parts) {
    if (parts.size() != 2)
        return;
    const auto envelope = unpack_envelope(parts[0]);
    if (!envelope.has_value() || !envelope->is_reply())
        return;
    ++context_->traffic.messages_received;
    context_->traffic.bytes_received += parts[0].size() + parts[1].size();
    silent_timeouts_ = 0;
    // A late reply finds its ask gone; one that was never asked for finds none.
    auto ask = open_.extract(envelope->correlation());
    if (ask.empty())
        return;
    ask.mapped().done(parts[1].to_string());
}

void peer_link::time_out(std::uint64_t correlation) {
    auto ask = open_.extract(correlation);
    if (ask.empty())
        return;
    const int sent_on = ask.mapped().sent_on;
    if (sent_on == connection_ || sent_on == 0)
        ++silent_timeouts_;
    if (silent_timeouts_ >= timeouts_before_new_connection)
        connect();
    ask.mapped().done(unreachable("no reply"));
}

void peer_link::close() {
    if (stream_)
        stream_->stop();
    for (auto& [correlation, ask] : std::exchange(open_, {})) {
        context_->loop.post(
            [status = unreachable("forgotten"), done = std::move(ask.done)] { done(status); });
    }
}

absl::Status peer_link::unreachable(const std::string& why) const {
    return make_error(result_code::peer_unreachable, where_ + ": " + why);
}

} // namespace figwinch
