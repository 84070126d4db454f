#pragma once

#include "figwinch/net.h"
#include "tools/standin_executor/executor_model.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace figwinch::standin {

/// Serves one stand-in executor over evhttp itself rather than library `net`, since it has to close
/// connections without answering and to cut answers short. Owned by `main` or a test.
class executor_server {
public:
    executor_server(event_loop& loop, executor_model_settings with);
    ~executor_server();
    executor_server(const executor_server&) = delete;
    executor_server& operator=(const executor_server&) = delete;

    absl::Status listen(const std::string& address, std::uint16_t port);
    std::uint16_t port() const { return port_; }
    executor_model& model() { return model_; }

private:
    struct run {
        evhttp_request* request = nullptr;
        std::string id;
        std::string customer;
        std::string body;
        std::unique_ptr<event_handle> done;
    };

    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);

    void take(evhttp_request* request);
    void control(evhttp_request* request, const std::string& path, const std::string& body);
    void execute(evhttp_request* request);
    void finish(std::uint64_t number);
    void answer(run& it);
    void send(evhttp_request* request, int status, const std::string& body);
    void send_health(evhttp_request* request);
    void hang_up(evhttp_request* request);
    void cut_short(evhttp_request* request, const std::string& body);
    std::string body_for(const run& it) const;

    event_loop& loop_;
    executor_model model_;
    evhttp* http_ = nullptr;
    std::uint16_t port_ = 0;
    std::set<evhttp_connection*> connections_;
    std::map<std::uint64_t, run> runs_;
    std::uint64_t next_run_ = 1;
    /// What a crossed answer shows: the request before.
    std::string last_id_ = "someone-elses-request";
    std::string last_customer_ = "someone-else";
};

} // namespace figwinch::standin
