#include "entry/claim_service.h"

#include <utility>

namespace figwinch {
namespace {

/// How long a release may be under way; it is only a courtesy to the next send.
constexpr duration release_timeout = std::chrono::seconds(1);

claim_vote read_vote(const absl::StatusOr<pb::PeerReply>& reply) {
    const pb::ClaimReply& claim = reply->claim();
    if (claim.granted())
        return {vote_kind::granted, {}, false};
    if (claim.abstained())
        return {};
    return {vote_kind::denied, incarnation_id(claim.holder()), claim.dispatched()};
}

} // namespace

claim_service::claim_service(peer_service& peers, const clock& time,
                             const dispatch_guard::settings& with)
    : peers_(peers), time_(time),
      guard_(with, peers.self().node, peers.self().incarnation, time.now()) {
    peers_.handle(pb::PeerRequest::kClaim,
                  [this](const incarnation_id& from, const pb::PeerRequest& request,
                         const std::function<void(pb::PeerReply)>& reply) {
                      reply(answer(from, request.claim()));
                  });
}

std::vector<member> claim_service::other_entries() const {
    std::vector<member> entries;
    for (member& one : peers_.members())
        if (one.role == member_role::entry && one.state != member_state::dead)
            entries.push_back(std::move(one));
    return entries;
}

void claim_service::claim(const customer_id& customer, const request_id& request, send_mark mark,
                          duration timeout, claim_handler done) {
    const std::vector<member> entries = other_entries();
    const claim_progress begun =
        guard_.begin(claim_key::of(customer, request), mark, entries.size(), time_.now());
    auto claim = std::make_shared<pending_claim>();
    claim->customer = customer;
    claim->request = request;
    claim->sequence = begun.sequence;
    claim->done = std::move(done);
    // Asked even when this entry alone is a quorum: the others refuse a resend from then on.
    for (const member& entry : entries) {
        if (begun.sequence == 0)
            break;
        peers_.ask(entry.address, message(*claim, false), timeout,
                   [this, claim, voter = entry.node](const absl::StatusOr<pb::PeerReply>& reply) {
                       hear(claim, voter, reply);
                   });
    }
    conclude(claim, begun);
}

pb::PeerRequest claim_service::message(const pending_claim& claim, bool released) const {
    pb::PeerRequest request;
    pb::ClaimRequest& body = *request.mutable_claim();
    body.set_customer(claim.customer.str());
    body.set_request_id(claim.request.str());
    body.set_claimant(peers_.self().incarnation.str());
    body.set_sequence(claim.sequence);
    body.set_released(released);
    return request;
}

void claim_service::hear(const std::shared_ptr<pending_claim>& claim, const node_id& voter,
                         const absl::StatusOr<pb::PeerReply>& reply) {
    const claim_key key = claim_key::of(claim->customer, claim->request);
    const bool voted = reply.ok() && reply->has_claim();
    conclude(claim, voted ? guard_.note_vote(key, claim->sequence, voter, read_vote(reply))
                          : guard_.note_silence(key, claim->sequence));
}

void claim_service::conclude(const std::shared_ptr<pending_claim>& claim,
                             const claim_progress& progress) {
    if (!claim->done || progress.state == claim_state::pending)
        return;
    const claim_handler done = std::exchange(claim->done, nullptr);
    if (progress.state != claim_state::granted && claim->sequence != 0)
        release(claim->customer, claim->request, claim->sequence);
    done(progress);
}

bool claim_service::use(const claim_key& key, std::uint64_t sequence) {
    return guard_.use(key, sequence, time_.now());
}

void claim_service::finish(const claim_key& key, std::uint64_t sequence) {
    guard_.finish(key, sequence);
}

bool claim_service::release(const customer_id& customer, const request_id& request,
                            std::uint64_t sequence) {
    const bool not_run = guard_.release(claim_key::of(customer, request), sequence, time_.now());
    const pending_claim claim{customer, request, sequence, nullptr};
    for (const member& entry : other_entries())
        peers_.ask(entry.address, message(claim, true), release_timeout,
                   [](const absl::StatusOr<pb::PeerReply>&) {});
    return not_run;
}

pb::PeerReply claim_service::answer(const incarnation_id& from, const pb::ClaimRequest& request) {
    const claim_key key =
        claim_key::of(customer_id(request.customer()), request_id(request.request_id()));
    pb::PeerReply reply;
    pb::ClaimReply& body = *reply.mutable_claim();
    if (request.released()) {
        guard_.note_released(key, from, request.sequence());
        return reply;
    }
    const claim_vote vote = guard_.vote(key, from, request.sequence(), time_.now());
    body.set_granted(vote.kind == vote_kind::granted);
    body.set_abstained(vote.kind == vote_kind::abstained);
    body.set_holder(vote.holder.str());
    body.set_dispatched(vote.dispatched);
    return reply;
}

} // namespace figwinch
