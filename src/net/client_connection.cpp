#include "net/client_connection.h"

#include "net/evhttp_message.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <absl/strings/match.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

namespace figwinch {
namespace {

constexpr ev_ssize_t max_response_header_bytes = ev_ssize_t{64} * 1024;
constexpr ev_ssize_t max_response_body_bytes = ev_ssize_t{64} * 1024 * 1024;
// evhttp's own timeout only has to come after ours.
constexpr std::int64_t extra_timeout_seconds = 5;
// libevent takes no more off a socket at a time, whatever it is told.
constexpr std::size_t library_read_bytes = 4096;
// What one connection may take in a turn of the loop.
constexpr std::size_t turn_read_bytes = std::size_t{512} * 1024;

std::optional<evhttp_cmd_type> to_command(http_method method) {
    switch (method) {
    case http_method::get:
        return EVHTTP_REQ_GET;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::del:
        return EVHTTP_REQ_DELETE;
    case http_method::other:
        break;
    }
    return std::nullopt;
}

std::string target_of(const http_request& request) {
    if (request.query.empty())
        return request.path;
    return request.path + "?" + request.query;
}

// evhttp writes the target as it is: a line end in it would begin a header or a second request.
bool is_safe_target(const std::string& target) {
    return target.starts_with('/') &&
           std::ranges::all_of(target, [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

bool is_whole(const http_response& response) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (response.status == no_content || response.status == not_modified)
        return true;
    const auto encoding = response.headers.find("Transfer-Encoding");
    if (encoding.has_value())
        return true; // evhttp reports success only after the closing chunk
    const auto length = response.headers.find("Content-Length");
    if (!length.has_value())
        return false; // the end of the connection ends the body: a cut looks the same
    std::size_t expected = 0;
    std::from_chars(length->data(), length->data() + length->size(), expected);
    return response.body.size() == expected;
}

bool closes(const http_response& response) {
    const auto connection = response.headers.find("Connection");
    return connection.has_value() &&
           absl::EqualsIgnoreCase(absl::string_view(connection->data(), connection->size()),
                                  "close");
}

std::string describe(evhttp_request_error error) {
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "timeout";
    case EVREQ_HTTP_EOF:
        return "connection closed before the whole answer";
    case EVREQ_HTTP_INVALID_HEADER:
        return "malformed answer";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "answer too long";
    default:
        return "connection failed";
    }
}

} // namespace

client_connection::client_connection(event_loop& loop, const endpoint& server, connection_id id)
    : loop_(loop), id_(id),
      evcon_(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, nullptr,
                                                    server.address.c_str(), server.port)) {
    // A failed call must end at once and as it is: what may be tried again is the caller's
    // decision, since the server may have run the first.
    evhttp_connection_set_retries(evcon_, 0);
    evhttp_connection_set_max_headers_size(evcon_, max_response_header_bytes);
    evhttp_connection_set_max_body_size(evcon_, max_response_body_bytes);
    evhttp_connection_set_closecb(evcon_, &client_connection::on_close, this);
    bufferevent* const stream = evhttp_connection_get_bufferevent(evcon_);
    evbuffer_add_cb(bufferevent_get_output(stream), &client_connection::on_written, this);
    evbuffer_add_cb(bufferevent_get_input(stream), &client_connection::on_received, this);
}

client_connection::~client_connection() {
    evhttp_connection_set_closecb(evcon_, nullptr, nullptr);
    evhttp_connection_free(evcon_);
}

bool client_connection::is_usable() const {
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(evcon_));
    if (descriptor < 0)
        return false;
    char byte = 0;
    const ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::start(const http_request& request, const call_bounds& bounds,
                              finished done) {
    done_ = std::move(done);
    error_.clear();
    bytes_left_ = false;
    result_posted_ = false;
    const auto command = to_command(request.method);
    const std::string target = target_of(request);
    if (!command.has_value() || !is_safe_target(target)) {
        finish_later(failed("the request can't be sent over HTTP"), false);
        return;
    }
    evhttp_request* const message = evhttp_request_new(&client_connection::on_response, this);
    evhttp_request_set_error_cb(message, &client_connection::on_error);
    evkeyvalq* const headers = evhttp_request_get_output_headers(message);
    for (const http_header& line : request.headers.all()) {
        if (evhttp_add_header(headers, line.name.c_str(), line.value.c_str()) != 0)
            error_ = "the request can't be sent over HTTP";
    }
    if (!error_.empty()) {
        evhttp_request_free(message);
        finish_later(failed(error_), false);
        return;
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(),
                 request.body.size());
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(bounds.whole).count();
    const timeval evhttp_timeout{seconds + extra_timeout_seconds, 0};
    evhttp_connection_set_timeout_tv(evcon_, &evhttp_timeout);
    bounds_ = bounds;
    started_at_ = system_clock().now();
    heard_at_ = started_at_;
    watch_bounds();
    if (evhttp_make_request(evcon_, message, *command, target.c_str()) != 0)
        finish_later(failed("connection failed"), false);
}

/// Waits for the nearer bound; bytes that came meanwhile have moved the one on silence.
void client_connection::watch_bounds() {
    const instant now = system_clock().now();
    const instant end = std::min(heard_at_ + bounds_.silence, started_at_ + bounds_.whole);
    if (now >= end)
        return finish_later(failed("timeout"), false);
    timer_ = loop_.after(end - now, [this] { watch_bounds(); });
}

void client_connection::on_received(evbuffer*, const evbuffer_cb_info* change, void* self) {
    if (change->n_added == 0)
        return;
    auto* const connection = static_cast<client_connection*>(self);
    connection->heard_at_ = system_clock().now();
    if (change->n_added >= library_read_bytes)
        connection->read_on();
}

/// Takes what else has come. Left to libevent, a turn of the loop takes a few kilobytes, so that a
/// long answer waits for as many rounds of all other work. An end or error of the connection that
/// is met here is met again by the library's next read.
void client_connection::read_on() {
    if (std::exchange(reading_on_, true))
        return;
    bufferevent* const stream = evhttp_connection_get_bufferevent(evcon_);
    std::size_t taken = 0;
    while (taken < turn_read_bytes) {
        const int count = evbuffer_read(bufferevent_get_input(stream), bufferevent_getfd(stream),
                                        library_read_bytes);
        if (count <= 0)
            break;
        taken += static_cast<std::size_t>(count);
    }
    reading_on_ = false;
}

void client_connection::on_written(evbuffer*, const evbuffer_cb_info* change, void* self) {
    if (change->n_deleted > 0)
        static_cast<client_connection*>(self)->bytes_left_ = true;
}

void client_connection::on_error(evhttp_request_error error, void* self) {
    static_cast<client_connection*>(self)->error_ = describe(error);
}

void client_connection::on_response(evhttp_request* response, void* self) {
    auto* const connection = static_cast<client_connection*>(self);
    call_result result = connection->judge(response);
    const bool reusable = result.outcome == call_outcome::answered && !closes(result.response);
    connection->finish_later(std::move(result), reusable);
}

void client_connection::on_close(evhttp_connection*, void* self) {
    auto* const connection = static_cast<client_connection*>(self);
    if (!connection->is_idle())
        return;
    connection->loop_.post([weak = connection->weak_from_this()] {
        const auto strong = weak.lock();
        if (strong && strong->is_idle() && strong->idle_closed_)
            strong->idle_closed_();
    });
}

call_result client_connection::judge(evhttp_request* response) const {
    if (response == nullptr)
        return failed(error_);
    if (evhttp_request_get_response_code(response) == 0)
        return failed("connect failed");
    call_result result;
    result.response = read_response(response);
    if (!is_whole(result.response))
        return failed("truncated");
    result.outcome = call_outcome::answered;
    return result;
}

call_result client_connection::failed(std::string reason) const {
    call_result result;
    result.outcome = bytes_left_ ? call_outcome::unknown : call_outcome::not_sent;
    result.reason = std::move(reason);
    return result;
}

void client_connection::finish_later(call_result result, bool reusable) {
    if (std::exchange(result_posted_, true))
        return;
    timer_.reset();
    loop_.post([weak = weak_from_this(), result = std::move(result), reusable]() mutable {
        if (const auto strong = weak.lock())
            strong->finish(std::move(result), reusable);
    });
}

void client_connection::finish(call_result result, bool reusable) {
    const finished done = std::exchange(done_, nullptr);
    idle_since_ = system_clock().now();
    result.kept_since = kept_since_;
    result.connection = id_;
    if (reusable && !kept_since_)
        kept_since_ = idle_since_;
    done(std::move(result), reusable);
}

} // namespace figwinch
