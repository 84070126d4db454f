#pragma once

#include "figwinch/routing.h"
#include "membership/peer_service.h"

#include <functional>

namespace figwinch {

/// Carries claims between this entry's `dispatch_guard` and the other entries. Owned by the daemon.
class claim_service {
public:
    using claim_handler = std::function<void(const claim_progress&)>;

    claim_service(peer_service& peers, const clock& time, const dispatch_guard::settings& with);

    /// Claims a request and calls back exactly once, with any state but `pending`, within
    /// `timeout`.
    void claim(const customer_id& customer, const request_id& request, send_mark mark,
               duration timeout, claim_handler done);
    bool use(const claim_key& key, std::uint64_t sequence);
    void finish(const claim_key& key, std::uint64_t sequence);
    /// Gives the claim up here and at the other entries; true when "not run" may be said.
    bool release(const customer_id& customer, const request_id& request, std::uint64_t sequence);
    dispatch_guard& guard() { return guard_; }

private:
    struct pending_claim {
        customer_id customer;
        request_id request;
        std::uint64_t sequence = 0;
        claim_handler done;
    };

    std::vector<member> other_entries() const;
    pb::PeerRequest message(const pending_claim& claim, bool released) const;
    void conclude(const std::shared_ptr<pending_claim>& claim, const claim_progress& progress);
    void hear(const std::shared_ptr<pending_claim>& claim, const node_id& voter,
              const absl::StatusOr<pb::PeerReply>& reply);
    pb::PeerReply answer(const incarnation_id& from, const pb::ClaimRequest& request);

    peer_service& peers_;
    const clock& time_;
    dispatch_guard guard_;
};

} // namespace figwinch
