#pragma once

#include "figwinch/net/http_client.h"

#include <event2/http.h>

#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace figwinch {

/// One connection of an `http_client`, with at most one call on it. Owned by the client. Its calls
/// back come on a turn of their own, never from inside evhttp, so that they may destroy it.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    using finished = std::function<void(call_result, bool reusable)>;

    client_connection(event_loop& loop, const endpoint& server, connection_id id);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends `request`; calls `done` once.
    void start(const http_request& request, const call_bounds& bounds, finished done);
    /// Calls whenever the server closes the connection while no call is on it.
    void on_idle_close(std::function<void()> call) { idle_closed_ = std::move(call); }

    bool is_idle() const { return !done_; }
    instant idle_since() const { return idle_since_; }
    connection_id id() const { return id_; }
    /// Since when the connection has been kept alive after an answer; nothing before the first one.
    std::optional<instant> kept_since() const { return kept_since_; }
    /// False when the server has closed the idle connection, or has sent bytes that nobody asked
    /// for, even if the loop has not seen it yet.
    bool is_usable() const;

private:
    static void on_written(evbuffer*, const evbuffer_cb_info* change, void* self);
    static void on_received(evbuffer*, const evbuffer_cb_info* change, void* self);
    static void on_response(evhttp_request* response, void* self);
    static void on_error(evhttp_request_error error, void* self);
    static void on_close(evhttp_connection*, void* self);

    void read_on();
    void watch_bounds();
    void finish(call_result result, bool reusable);
    void finish_later(call_result result, bool reusable);
    call_result judge(evhttp_request* response) const;
    call_result failed(std::string reason) const;

    event_loop& loop_;
    connection_id id_;
    evhttp_connection* evcon_;
    std::function<void()> idle_closed_;
    instant idle_since_;
    std::optional<instant> kept_since_;

    // The call in progress:
    finished done_;
    std::unique_ptr<event_handle> timer_;
    call_bounds bounds_;
    instant started_at_;
    instant heard_at_;
    std::string error_;
    /// A byte of the request may have left this process.
    bool bytes_left_ = false;
    bool result_posted_ = false;
    bool reading_on_ = false;
};

} // namespace figwinch
