#include "figwinch/routing/dispatch_guard.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace figwinch {
namespace {

/// Covers clocks that run at different speeds: grants of the previous incarnation were timed by
/// another process.
duration with_drift(duration window) {
    return window + window / 50;
}

} // namespace

dispatch_guard::dispatch_guard(const settings& with, node_id node, incarnation_id self,
                               instant started)
    : with_(with), node_(std::move(node)), votes_from_(started + with_drift(with.window)) {
    assert(with.voters > 0 && with.use_within * 2 < with.window);
    incarnations_.push_back(std::move(self));
}

claim_progress dispatch_guard::begin(const claim_key& key, send_mark mark, std::size_t asked,
                                     instant now) {
    forget_expired(now);
    if (const auto known = records_.find(key); known != records_.end())
        return held_by(known->second);
    if (is_full())
        return {};
    open_claim claim;
    claim.sequence = next_sequence_++;
    claim.begun = now;
    claim.mark = mark;
    claim.waiting = asked;
    // More entries than the settings say, when a replaced host comes back: a majority of the lower
    // number might miss another one.
    claim.voters = std::max(with_.voters, asked + 1);
    claim.result.state = claim_state::pending;
    claim.result.sequence = claim.sequence;
    if (may_vote(now))
        claim.granted_by.push_back(node_);
    remember(key, self_index, claim.sequence, now);
    open_claim& open = open_[key];
    open = std::move(claim);
    return judge(open);
}

claim_progress dispatch_guard::note_vote(const claim_key& key, std::uint64_t sequence,
                                         const node_id& voter, const claim_vote& vote) {
    open_claim* claim = find_open(key, sequence);
    if (claim == nullptr)
        return {};
    if (claim->waiting > 0)
        --claim->waiting;
    if (vote.kind == vote_kind::granted &&
        std::ranges::find(claim->granted_by, voter) == claim->granted_by.end())
        claim->granted_by.push_back(voter);
    if (vote.kind == vote_kind::denied) {
        claim->was_denied = true;
        if (claim->result.holder.empty() || vote.dispatched)
            claim->result.holder = vote.holder;
        claim->result.dispatched = claim->result.dispatched || vote.dispatched;
    }
    return judge(*claim);
}

claim_progress dispatch_guard::note_silence(const claim_key& key, std::uint64_t sequence) {
    open_claim* claim = find_open(key, sequence);
    if (claim == nullptr)
        return {};
    if (claim->waiting > 0)
        --claim->waiting;
    return judge(*claim);
}

bool dispatch_guard::use(const claim_key& key, std::uint64_t sequence, instant now) {
    const open_claim* claim = find_open(key, sequence);
    if (claim == nullptr || !is_usable(*claim, now))
        return false;
    const auto known = records_.find(key);
    if (known == records_.end())
        return false;
    known->second.dispatched = true;
    known->second.expires = now + with_.window;
    expiries_.push_back({known->second.expires, key});
    return true;
}

bool dispatch_guard::release(const claim_key& key, std::uint64_t sequence, instant now) {
    const open_claim* claim = find_open(key, sequence);
    if (claim == nullptr)
        return false;
    const bool not_run = is_usable(*claim, now);
    open_.erase(key);
    records_.erase(key);
    return not_run;
}

void dispatch_guard::finish(const claim_key& key, std::uint64_t sequence) {
    if (find_open(key, sequence) != nullptr)
        open_.erase(key);
}

claim_vote dispatch_guard::vote(const claim_key& key, const incarnation_id& claimant,
                                std::uint64_t sequence, instant now) {
    forget_expired(now);
    const auto known = records_.find(key);
    if (known == records_.end()) {
        if (!may_vote(now) || is_full())
            return {};
        remember(key, index_of(claimant), sequence, now);
        return {vote_kind::granted, claimant, false};
    }
    record& entry = known->second;
    const incarnation_id& holder = incarnations_[entry.holder];
    if (holder != claimant || sequence < entry.sequence)
        return {vote_kind::denied, holder, entry.holder == self_index && entry.dispatched};
    if (sequence > entry.sequence) {
        // Claimed again after a release that was lost: the grant counts from now on.
        records_.erase(known);
        remember(key, index_of(claimant), sequence, now);
    }
    return {vote_kind::granted, claimant, false};
}

void dispatch_guard::note_released(const claim_key& key, const incarnation_id& claimant,
                                   std::uint64_t sequence) {
    const auto known = records_.find(key);
    if (known == records_.end())
        return;
    // Only this very claim: a delayed release must not free a later claim that is in use.
    const record& entry = known->second;
    if (incarnations_[entry.holder] == claimant && entry.sequence == sequence)
        records_.erase(known);
}

void dispatch_guard::forget_expired(instant now) {
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const claim_key key = expiries_.front().key;
        expiries_.pop_front();
        const auto known = records_.find(key);
        if (known == records_.end() || known->second.expires > now)
            continue;
        records_.erase(known);
        open_.erase(key);
    }
}

void dispatch_guard::remember(const claim_key& key, std::uint32_t holder, std::uint64_t sequence,
                              instant now) {
    const instant expires = now + with_.window;
    records_[key] = record{holder, false, sequence, expires};
    expiries_.push_back({expires, key});
}

std::uint32_t dispatch_guard::index_of(const incarnation_id& who) {
    const auto known = std::ranges::find(incarnations_, who);
    if (known == incarnations_.end())
        incarnations_.push_back(who);
    return static_cast<std::uint32_t>(std::ranges::find(incarnations_, who) -
                                      incarnations_.begin());
}

claim_progress dispatch_guard::held_by(const record& entry) const {
    claim_progress result;
    result.state = claim_state::held;
    result.holder = incarnations_[entry.holder];
    result.dispatched = entry.holder == self_index && entry.dispatched;
    return result;
}

std::size_t dispatch_guard::needed(const open_claim& claim) const {
    // A first send may have been run by an entry that no other could reach.
    if (claim.mark == send_mark::resend && with_.first_sends_alone)
        return claim.voters;
    return claim.voters / 2 + 1;
}

claim_progress dispatch_guard::judge(open_claim& claim) const {
    if (claim.result.state != claim_state::pending)
        return claim.result;
    if (claim.granted_by.size() >= needed(claim))
        claim.result.state = claim_state::granted;
    else if (claim.result.dispatched || (claim.waiting == 0 && claim.was_denied))
        claim.result.state = claim_state::held;
    else if (claim.waiting == 0)
        claim.result.state = may_go_alone(claim) ? claim_state::granted : claim_state::no_quorum;
    return claim.result;
}

bool dispatch_guard::may_go_alone(const open_claim& claim) const {
    // Its own grant shows that this entry is old enough to have seen a resend that overtook the
    // first send.
    const bool vouches = std::ranges::find(claim.granted_by, node_) != claim.granted_by.end();
    return with_.first_sends_alone && claim.mark == send_mark::first && vouches;
}

bool dispatch_guard::is_usable(const open_claim& claim, instant now) const {
    // A process that was frozen with a granted claim wakes after the grants have expired elsewhere
    // and another entry has run the request.
    return claim.result.state == claim_state::granted && now - claim.begun <= with_.use_within;
}

dispatch_guard::open_claim* dispatch_guard::find_open(const claim_key& key,
                                                      std::uint64_t sequence) {
    const auto open = open_.find(key);
    if (open == open_.end() || open->second.sequence != sequence)
        return nullptr;
    return &open->second;
}

} // namespace figwinch
