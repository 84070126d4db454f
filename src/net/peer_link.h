#pragma once

#include "figwinch/net/bus.h"
#include "net/zmq_stream.h"

#include <deque>
#include <unordered_map>

namespace figwinch {

/// What every link of a bus needs. Owned by the bus and its links together.
struct bus_context {
    event_loop& loop;
    const clock& time;
    incarnation_id self;
    zmq_context zmq;
    bus_traffic traffic;
    std::uint64_t last_correlation = 0;
};

/// The asking side towards one peer: a DEALER socket and the asks on it. Owned by the bus.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(std::shared_ptr<bus_context> context, std::string where);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    void ask(std::string body, duration timeout, bus::reply_handler done);
    /// Ends every open ask as `peer_unreachable`, on a later turn of the loop.
    void close();

private:
    struct open_ask {
        std::string body;
        duration timeout{};
        instant asked_at{};
        /// The number of the connection that it was sent on; 0: not yet sent.
        int sent_on = 0;
        bus::reply_handler done;
        std::unique_ptr<event_handle> timer;
    };

    void connect();
    void flush();
    bool send(std::uint64_t correlation, const open_ask& ask);
    void receive(const zmq_parts& parts);
    void time_out(std::uint64_t correlation);
    absl::Status unreachable(const std::string& why) const;

    std::shared_ptr<bus_context> context_;
    std::string where_;
    std::shared_ptr<zmq_stream> stream_;
    std::unordered_map<std::uint64_t, open_ask> open_;
    std::deque<std::uint64_t> unsent_;
    int connection_ = 0;
    /// Timeouts since the last reply, without those of asks on earlier connections.
    int silent_timeouts_ = 0;
};

} // namespace figwinch
