#pragma once

#include "figwinch/base.h"
#include "figwinch/routing/claim_key.h"
#include "figwinch/routing/claim_progress.h"
#include "figwinch/routing/claim_vote.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <vector>

namespace figwinch {

/// Whether the caller says which send of a request this is.
enum class send_mark { unmarked, first, resend };

/// Keeps a non-idempotent request from being run twice, without anything that lasts. Owned by an
/// entry; times are the entry's own.
///
/// The failure: the reply to a request is lost, the caller sends the same id again, and the
/// balancer hands it to another entry while the first is alive, frozen, cut off or restarted. The
/// caller sees two tickets. The guard: a request is dispatched only under a claim that more than
/// half of the region's entries have granted, and an entry that has granted a claim grants that id
/// to nobody else for `window`. Two majorities share an entry, so that two claims for one id can't
/// both succeed. An entry that was restarted has forgotten its grants, and abstains until they have
/// all expired. docs/design/interactive.md has the argument in full.
class dispatch_guard {
public:
    struct settings {
        /// Entries of the region that may vote, this one included. The same number everywhere.
        std::size_t voters = 1;
        /// How long a grant is remembered.
        duration window = std::chrono::seconds(60);
        /// How long after it was begun a claim may be used, and then how long an entry that it was
        /// forwarded to may take to dispatch it; both together well under `window`.
        duration use_within = std::chrono::seconds(20);
        /// Bound on remembered claims and grants; beyond it this entry refuses and abstains.
        std::size_t max_records = 100'000;
        /// Lets an entry without a quorum dispatch a request marked as its first send; a marked
        /// resend then needs the grant of every voter.
        bool first_sends_alone = true;
    };

    dispatch_guard(const settings& with, node_id node, incarnation_id self, instant started);

    /// It is proven that nothing this node granted can have been forgotten: vote at once.
    void vote_at_once() { votes_from_ = instant{}; }
    /// Whether this entry may vote at all, besides having waited.
    void set_vouching(bool vouching) { vouching_ = vouching; }
    bool may_vote(instant now) const { return vouching_ && now >= votes_from_; }

    /// Begins a claim on behalf of a caller; `asked` other entries are going to be asked.
    claim_progress begin(const claim_key& key, send_mark mark, std::size_t asked, instant now);
    /// A vote of entry `voter` has arrived for the claim numbered `sequence`.
    claim_progress note_vote(const claim_key& key, std::uint64_t sequence, const node_id& voter,
                             const claim_vote& vote);
    /// An entry that was asked does not answer.
    claim_progress note_silence(const claim_key& key, std::uint64_t sequence);
    /// Marks the request as sent to an executor. False when the claim is not held or has grown too
    /// old to be used: then it must not be sent, and it has not been.
    bool use(const claim_key& key, std::uint64_t sequence, instant now);
    /// Gives the claim up: nothing ran under it, by proof. Tell the entries that were asked. True
    /// when "not run" may be said: the claim was granted and no other can have been meanwhile.
    bool release(const claim_key& key, std::uint64_t sequence, instant now);
    /// The request was sent and may have run: its claim is never given up, only forgotten with the
    /// window.
    void finish(const claim_key& key, std::uint64_t sequence);

    /// The answer to another entry's claim.
    claim_vote vote(const claim_key& key, const incarnation_id& claimant, std::uint64_t sequence,
                    instant now);
    /// Another entry has given its claim up.
    void note_released(const claim_key& key, const incarnation_id& claimant,
                       std::uint64_t sequence);

    duration use_within() const { return with_.use_within; }
    std::size_t records() const { return records_.size(); }

private:
    struct record {
        std::uint32_t holder = 0;
        bool dispatched = false;
        std::uint64_t sequence = 0;
        instant expires{};
    };
    struct open_claim {
        std::uint64_t sequence = 0;
        instant begun{};
        send_mark mark = send_mark::unmarked;
        std::size_t waiting = 0;
        /// Entries that may vote, as far as this one knows.
        std::size_t voters = 0;
        std::vector<node_id> granted_by;
        claim_progress result;
        bool was_denied = false;
    };
    struct expiry {
        instant at{};
        claim_key key;
    };

    static constexpr std::uint32_t self_index = 0;

    void forget_expired(instant now);
    bool is_full() const { return records_.size() >= with_.max_records; }
    void remember(const claim_key& key, std::uint32_t holder, std::uint64_t sequence, instant now);
    std::uint32_t index_of(const incarnation_id& who);
    claim_progress held_by(const record& entry) const;
    std::size_t needed(const open_claim& claim) const;
    claim_progress judge(open_claim& claim) const;
    bool may_go_alone(const open_claim& claim) const;
    bool is_usable(const open_claim& claim, instant now) const;
    open_claim* find_open(const claim_key& key, std::uint64_t sequence);

    settings with_;
    node_id node_;
    instant votes_from_;
    bool vouching_ = true;
    std::uint64_t next_sequence_ = 1;
    std::vector<incarnation_id> incarnations_;
    absl::flat_hash_map<claim_key, record> records_;
    absl::flat_hash_map<claim_key, open_claim> open_;
    std::deque<expiry> expiries_;
};

} // namespace figwinch
