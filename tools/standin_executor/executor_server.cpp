#include "tools/standin_executor/executor_server.h"

#include "net/evhttp_message.h"
#include "tools/standin_executor/json_text.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace figwinch::standin {
namespace {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

std::string text_of(const http_headers& headers, std::string_view name) {
    return std::string(headers.find(name).value_or(""));
}

void add_header(evhttp_request* request, const char* name, const std::string& value) {
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

} // namespace

executor_server::executor_server(event_loop& loop, executor_model_settings with)
    : loop_(loop), model_(std::move(with)), http_(evhttp_new(loop.base())) {
    evhttp_set_gencb(http_, &executor_server::on_request, this);
}

executor_server::~executor_server() {
    runs_.clear();
    evhttp_free(http_);
}

absl::Status executor_server::listen(const std::string& address, std::uint16_t port) {
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(http_, address.c_str(), port);
    if (bound == nullptr)
        return make_error(result_code::setting_invalid, "can't listen on " + address);
    sockaddr_in where{};
    socklen_t size = sizeof(where);
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    return absl::OkStatus();
}

void executor_server::on_request(evhttp_request* request, void* self) {
    static_cast<executor_server*>(self)->take(request);
}

void executor_server::on_close(evhttp_connection* connection, void* self) {
    auto* const server = static_cast<executor_server*>(self);
    server->connections_.erase(connection);
    // The work goes on without its caller.
    for (auto& [number, it] : server->runs_)
        if (it.request != nullptr && evhttp_request_get_connection(it.request) == connection)
            it.request = nullptr;
}

void executor_server::take(evhttp_request* request) {
    evhttp_connection* const connection = evhttp_request_get_connection(request);
    if (connections_.insert(connection).second)
        evhttp_connection_set_closecb(connection, &executor_server::on_close, this);
    const http_request message = read_request(request);
    if (message.path.starts_with("/control/")) {
        control(request, message.path, message.body);
        return;
    }
    const bool too_many =
        connections_.size() > static_cast<std::size_t>(model_.settings().connections);
    if (model_.faults().down || too_many) {
        hang_up(request);
        return;
    }
    if (model_.faults().freeze)
        return;
    if (message.path == "/v1/health")
        send_health(request);
    else if (message.path.starts_with("/v1/execute/"))
        execute(request);
    else
        send(request, http_not_found, "{}");
}

void executor_server::control(evhttp_request* request, const std::string& path,
                              const std::string& body) {
    const std::string name = path.substr(std::string_view("/control/").size());
    if (name == "state")
        send(request, http_ok, model_.state(static_cast<int>(connections_.size())));
    else
        send(request, model_.set_fault(name, body) ? http_ok : http_not_found, "{}");
}

void executor_server::execute(evhttp_request* request) {
    const http_request message = read_request(request);
    run it;
    it.request = request;
    it.id = text_of(message.headers, "Figwinch-Request-Id");
    it.customer = text_of(message.headers, "Figwinch-Customer");
    it.body = message.body;
    if (!model_.begin(it.customer, it.id)) {
        add_header(request, "Figwinch-Not-Run", "1");
        add_header(request, "Figwinch-Request-Id", it.id);
        add_header(request, "Figwinch-Customer", it.customer);
        send(request, http_unavailable, "{}");
        return;
    }
    const std::uint64_t number = next_run_++;
    it.done = loop_.after(model_.work_of(it.body), [this, number] { finish(number); });
    runs_.emplace(number, std::move(it));
}

void executor_server::finish(std::uint64_t number) {
    const auto found = runs_.find(number);
    run it = std::move(found->second);
    runs_.erase(found);
    model_.end();
    if (it.request != nullptr)
        answer(it);
    last_id_ = it.id;
    last_customer_ = it.customer;
}

void executor_server::answer(run& it) {
    executor_faults& faults = model_.faults();
    if (faults.freeze)
        return;
    if (faults.lose_reply > 0) {
        --faults.lose_reply;
        hang_up(it.request);
        return;
    }
    if (faults.cross > 0) {
        --faults.cross;
        it.id = last_id_ == it.id ? "another-request" : last_id_;
        it.customer = last_customer_;
    }
    add_header(it.request, "Figwinch-Request-Id", it.id);
    add_header(it.request, "Figwinch-Customer", it.customer);
    add_header(it.request, "Content-Type", "application/json");
    if (faults.truncate > 0) {
        --faults.truncate;
        cut_short(it.request, body_for(it));
        return;
    }
    send(it.request, http_ok, body_for(it));
}

std::string executor_server::body_for(const run& it) const {
    json_text body;
    body.set("request_id", it.id);
    body.set("customer", it.customer);
    body.set("executor", model_.settings().name);
    body.set("body", it.body);
    return body.str();
}

void executor_server::send(evhttp_request* request, int status, const std::string& body) {
    if (model_.faults().leaving)
        add_header(request, "Figwinch-Leaving", "1");
    evbuffer* const buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void executor_server::send_health(evhttp_request* request) {
    json_text health;
    health.set("state", std::string(model_.faults().leaving ? "leaving" : "live"));
    health.set("slots", model_.settings().slots);
    health.set("busy", model_.busy());
    send(request, http_ok, health.str());
}

void executor_server::hang_up(evhttp_request* request) {
    evhttp_connection* const connection = evhttp_request_get_connection(request);
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    // evhttp sees the end of the connection and frees both.
    shutdown(descriptor, SHUT_RDWR);
}

void executor_server::cut_short(evhttp_request* request, const std::string& body) {
    add_header(request, "Content-Length", std::to_string(body.size() + body.size()));
    evhttp_send_reply_start(request, http_ok, nullptr);
    evbuffer* const buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size() / 2);
    evhttp_send_reply_chunk(request, buffer);
    evbuffer_free(buffer);
    add_header(request, "Connection", "close");
    evhttp_send_reply_end(request);
}

} // namespace figwinch::standin
