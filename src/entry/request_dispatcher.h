#pragma once

#include "entry/active_request.h"
#include "entry/claim_service.h"
#include "entry/executor_links.h"
#include "entry/peer_slots.h"
#include "entry/request_metrics.h"

namespace figwinch {

/// How a dispatch ended, and the answer when there is one.
struct dispatch_result {
    dispatch_end end = dispatch_end::unknown;
    std::string body;
    std::string content_type;
    /// Why another entry refused it before running.
    result_code refusal = result_code::executor_refused;
};

enum class dispatch_start {
    /// The request is on its way.
    sent,
    /// No slot is free after all.
    no_slot,
    /// The claim has grown too old; nothing was sent.
    claim_lapsed,
};

/// Sends one request to an own executor, or else to an entry that has free slots. Owned by the
/// daemon.
class request_dispatcher {
public:
    using done_handler = std::function<void(const dispatch_result&)>;

    request_dispatcher(peer_service& peers, const clock& time, executor_pool& pool,
                       executor_links& links, peer_slots& lenders, claim_service& claims,
                       request_metrics& counts);

    bool has_slot(const service_id& service) const;
    /// How fast requests of the service move on at the own executors.
    service_pace pace(const service_id& service) const;
    /// Calls back exactly once when it returns `sent`, and not otherwise.
    dispatch_start start(active_request& it, done_handler done);
    /// Lets the request wait at the entry whose queue is shortest for its slots: requests that wait
    /// where they happened to arrive would not hear of slots that become free elsewhere. `no_slot`
    /// when this entry's own queue, `waiting` long, is the one. Calls back as `start` does.
    dispatch_start start_elsewhere(active_request& it, std::size_t waiting, done_handler done);

private:
    bool may_go_far(const service_id& service) const;
    bool use_claim(const active_request& it);
    duration timeout_for(const active_request& it) const;
    void call_executor(active_request& it, const executor_id& name, done_handler done);
    void forward(const active_request& it, const member& to, done_handler done);
    dispatch_result read_reply(const member& from, const request_id& request,
                               const customer_id& customer,
                               const absl::StatusOr<pb::PeerReply>& reply);

    peer_service& peers_;
    const clock& time_;
    executor_pool& pool_;
    executor_links& links_;
    peer_slots& lenders_;
    claim_service& claims_;
    request_metrics& counts_;
};

} // namespace figwinch
