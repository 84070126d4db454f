#pragma once

#include "figwinch/config.h"
#include "figwinch/net.h"
#include "figwinch/observe.h"
#include "lease/http_worker_client.h"
#include "log/http_log_client.h"
#include "membership/peer_service.h"
#include "scheduler/scheduler_core.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// Where a scheduler listens and whom it talks to.
struct daemon_settings {
    scheduler_settings rules;
    endpoint bus_address;
    endpoint http_address;
    endpoint log;
    std::vector<std::string> peers;
    duration heartbeat_period = std::chrono::milliseconds(500);
    duration tick_period = std::chrono::milliseconds(50);
    duration poll_period = std::chrono::milliseconds(200);
    duration call_timeout = std::chrono::seconds(1);
    /// Longest time that a planned stop takes.
    duration stop_limit = std::chrono::seconds(10);
};

/// Connects `scheduler_core` to the loop: log, peers, workers and HTTP. Owned by `main`.
class scheduler_daemon {
public:
    scheduler_daemon(event_loop& loop, const clock& time, daemon_settings with);

    /// Binds its ports and starts to run on the loop.
    absl::Status start();
    /// Hands everything over, then stops the loop.
    void begin_stop();

private:
    void tick();
    void carry_out(scheduler_actions actions);
    void send_command(const worker_command& command);
    void append(std::string payload);
    void poll_log();
    void take_page(const absl::StatusOr<log_page>& page, instant sent_at);
    void ask_fence(const fence_ask& ask);
    void tell_members();
    void finish_if_stopped();

    void handle_peers();
    void exchange_rooms();
    void on_submit(const pb::PeerRequest& request, std::function<void(pb::PeerReply)> reply);
    void on_show(const pb::PeerRequest& request, const std::function<void(pb::PeerReply)>& reply);
    void on_cancel(const pb::PeerRequest& request, std::function<void(pb::PeerReply)> reply);
    void on_list(const pb::PeerRequest& request, const std::function<void(pb::PeerReply)>& reply);
    /// Passes the request to the job's owner; false when this process is to answer itself.
    bool pass_on(const job_key& job, const pb::PeerRequest& request,
                 const std::function<void(pb::PeerReply)>& reply);
    void on_http(const http_request& request, const std::shared_ptr<http_responder>& to);
    void update_metrics();

    event_loop& loop_;
    const clock& time_;
    daemon_settings with_;
    metrics metrics_;
    std::unique_ptr<http_client> log_http_;
    std::unique_ptr<http_log_client> log_;
    std::unique_ptr<bus> bus_;
    std::unique_ptr<peer_service> peers_;
    std::unique_ptr<config_follower> config_;
    std::unique_ptr<size_estimator> sizes_;
    std::unique_ptr<failure_policy> failures_;
    std::unique_ptr<interference_controller> interference_;
    std::unique_ptr<scheduler_core> core_;
    std::unique_ptr<http_worker_client> workers_;
    std::unique_ptr<http_server> http_;
    std::vector<std::unique_ptr<event_handle>> timers_;
    bool reading_ = false;
    bool was_recovered_ = false;
    bool stopping_ = false;
    instant stop_deadline_{};
};

} // namespace figwinch
