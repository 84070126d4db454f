#pragma once

#include "figwinch/net.h"
#include "tools/standin_worker/worker_faults.h"
#include "tools/standin_worker/worker_model.h"

#include <deque>
#include <memory>
#include <vector>

namespace figwinch::standin {

/// One stand-in worker behind its own port. Owned by `main`.
class worker_server {
public:
    worker_server(event_loop& loop, const clock& time, worker_model_settings with);

    absl::Status listen(const std::string& address, std::uint16_t port);
    /// Lets tasks finish and leases lapse; to be called every few tens of milliseconds.
    void advance();
    std::uint16_t port() const { return server_->port(); }

private:
    using responder = std::shared_ptr<http_responder>;

    void handle(const http_request& request, const responder& to);
    void on_command(const std::string& body, const responder& to);
    void on_control(const http_request& request, const responder& to);
    bool apply_fault(std::string_view name, const std::string& body);
    std::string state() const;
    void thaw();

    event_loop& loop_;
    const clock& time_;
    worker_model model_;
    worker_faults faults_;
    std::unique_ptr<http_server> server_;
    /// Answers that a fault keeps back; an unanswered responder would answer by itself when
    /// dropped.
    std::deque<responder> withheld_;
    struct waiting_command {
        std::string body;
        responder to;
    };
    std::vector<waiting_command> frozen_;
    std::unique_ptr<event_handle> thaw_timer_;
};

} // namespace figwinch::standin
