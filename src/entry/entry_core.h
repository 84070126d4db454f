#pragma once

#include "entry/claim_service.h"
#include "entry/executor_links.h"
#include "entry/job_service.h"
#include "entry/peer_slots.h"
#include "entry/request_dispatcher.h"
#include "entry/request_metrics.h"
#include "entry/request_service.h"
#include "figwinch/config.h"
#include "figwinch/net.h"
#include "figwinch/observe.h"

#include <absl/status/status.h>

#include <memory>
#include <span>
#include <string>

namespace figwinch {

/// Bounds and times of an entry.
struct entry_core_settings {
    http_server_limits http;
    dispatch_guard::settings claims;
    executor_pool::settings executors;
    request_service::settings requests;
};

/// Everything of an entry but its connections to peers and platform: callers' HTTP, requests, jobs
/// and what peers ask. Owned by `main`; tests give it a fake `peer_service` and `config_view`.
class entry_core {
public:
    entry_core(event_loop& loop, const clock& time, peer_service& peers, config_view& config,
               metrics& measured, const entry_core_settings& with);

    /// Serves callers. Errors: `setting_invalid`.
    absl::Status listen(const std::string& address, std::uint16_t port);
    std::uint16_t port() const { return server_->port(); }

    void set_listed_leaving(std::span<const executor_id> leaving);
    dispatch_guard& guard() { return claims_.guard(); }

    /// Readiness says no, peers are told, and executors pass to other entries.
    void announce_stop();
    /// Takes no new requests; what was taken is answered.
    void stop_taking();
    /// Whether every request taken has been answered.
    bool is_drained() const;

private:
    void route(const http_request& message, const std::shared_ptr<http_responder>& responder);
    void take_request(const http_request& message, const std::string& service,
                      const std::shared_ptr<http_responder>& responder);
    http_response show_metrics();
    bool is_ready() const;

    void answer_forward(const pb::ForwardRequest& request,
                        const std::function<void(pb::PeerReply)>& reply);
    pb::PeerReply forward_reply(const pb::ForwardRequest& request,
                                const final_answer& answer) const;
    peer_load own_load() const;
    void update_members();
    void every_second();
    void report_latency();
    std::int64_t target_us(const executor_id& name) const;

    const clock& time_;
    event_loop& loop_;
    peer_service& peers_;
    config_view& config_;
    metrics& measured_;
    entry_core_settings with_;
    request_metrics counts_;
    executor_pool pool_;
    executor_links links_;
    peer_slots lenders_;
    claim_service claims_;
    request_dispatcher dispatcher_;
    request_service requests_;
    job_service jobs_;
    bool stopping_ = false;
    std::unique_ptr<event_handle> tick_;
    std::unique_ptr<http_server> server_;
};

} // namespace figwinch
