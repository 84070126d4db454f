#include "net/zmq_stream.h"

#include <utility>

namespace figwinch {
namespace {

// A queue beyond this is older than any message's lifetime.
constexpr int max_queued_messages = 1000;
constexpr std::int64_t max_message_bytes = std::int64_t{16} * 1024 * 1024;
constexpr int first_reconnect_ms = 100;
constexpr int longest_reconnect_ms = 1000;
constexpr int connect_timeout_ms = 2000;

} // namespace

zmq_stream::zmq_stream(event_loop& loop, zmq_context context, zmq::socket_type type)
    : loop_(loop), context_(std::move(context)), socket_(*context_, type) {
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket_.set(zmq::sockopt::rcvhwm, max_queued_messages);
    socket_.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    socket_.set(zmq::sockopt::reconnect_ivl, first_reconnect_ms);
    socket_.set(zmq::sockopt::reconnect_ivl_max, longest_reconnect_ms);
    socket_.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    // Without it, messages queue for a peer that is not there and reach its successor.
    socket_.set(zmq::sockopt::immediate, true);
}

zmq_stream::~zmq_stream() {
    stop();
}

void zmq_stream::start(std::function<void(zmq_parts)> on_message, std::function<void()> writable) {
    on_message_ = std::move(on_message);
    writable_ = std::move(writable);
    watch_ = loop_.on_readable(socket_.get(zmq::sockopt::fd), [this] { turn(); });
    schedule();
}

void zmq_stream::stop() {
    stopped_ = true;
    watch_.reset();
}

void zmq_stream::schedule() {
    if (std::exchange(scheduled_, true))
        return;
    loop_.post([weak = weak_from_this()] {
        const auto strong = weak.lock();
        if (!strong)
            return;
        strong->scheduled_ = false;
        strong->turn();
    });
}

void zmq_stream::turn() {
    const auto keep = shared_from_this(); // a call may drop the last other owner
    while (!stopped_) {
        auto parts = receive();
        if (!parts.has_value())
            break;
        on_message_(std::move(*parts));
    }
    if (!stopped_ && writable_)
        writable_();
    // A send may have let a message in without a new edge on the descriptor.
    if (!stopped_ && (socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0)
        schedule();
}

std::optional<zmq_parts> zmq_stream::receive() {
    if ((socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0)
        return std::nullopt;
    zmq_parts parts;
    do {
        zmq::message_t part;
        if (!socket_.recv(part, zmq::recv_flags::dontwait).has_value())
            return std::nullopt;
        parts.push_back(std::move(part));
    } while (parts.back().more());
    return parts;
}

bool zmq_stream::send(zmq_parts parts) {
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool last = i + 1 == parts.size();
        const auto flags =
            last ? zmq::send_flags::dontwait : zmq::send_flags::dontwait | zmq::send_flags::sndmore;
        // Only the first part can be refused: ZeroMQ keeps or drops a message as a whole.
        if (!socket_.send(parts[i], flags).has_value())
            return false;
    }
    schedule();
    return true;
}

} // namespace figwinch
