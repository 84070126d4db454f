#pragma once

#include "figwinch/net/event_loop.h"

#include <zmq.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace figwinch {

/// A ZeroMQ context that ends after its last socket.
using zmq_context = std::shared_ptr<zmq::context_t>;
/// The parts of one message.
using zmq_parts = std::vector<zmq::message_t>;

/// One ZeroMQ socket on the event loop. Owned by a bus or a link; only used on the loop's thread.
/// ZeroMQ's descriptor is edge-triggered: it becomes readable once when the socket's state changes,
/// and a reader that leaves a message unread, or sends without looking again, waits for ever. Here
/// every wake-up and every send is followed by a turn that goes on until nothing is left.
class zmq_stream : public std::enable_shared_from_this<zmq_stream> {
public:
    zmq_stream(event_loop& loop, zmq_context context, zmq::socket_type type);
    ~zmq_stream();
    zmq_stream(const zmq_stream&) = delete;
    zmq_stream& operator=(const zmq_stream&) = delete;

    /// Calls for each message that arrives, and `writable` when the socket may take more.
    void start(std::function<void(zmq_parts)> on_message, std::function<void()> writable);
    /// Makes sure that a turn follows in which messages are read and `writable` is called.
    void schedule();
    /// Calls back no more. Safe from inside a call.
    void stop();
    /// Sends all parts or nothing; false when the socket can't take them now.
    bool send(zmq_parts parts);

    zmq::socket_t& socket() { return socket_; }

private:
    void turn();
    std::optional<zmq_parts> receive();

    event_loop& loop_;
    zmq_context context_;
    zmq::socket_t socket_;
    std::unique_ptr<event_handle> watch_;
    std::function<void(zmq_parts)> on_message_;
    std::function<void()> writable_;
    bool scheduled_ = false;
    bool stopped_ = false;
};

} // namespace figwinch
