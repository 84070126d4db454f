#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/record_codec.h"

#include <functional>
#include <memory>
#include <optional>

namespace figwinch {

class resignation_writer;

/// The current coordinator and its term, as far as a host knows.
struct leader_info {
    incarnation_id holder;
    std::string bus_address;
    lease_epoch epoch;
};

/// What a resignation says of the orders of its term.
struct resigned_term {
    /// Encoded by `encode_outstanding`.
    std::string outstanding;
    /// The latest time at which it can have been written.
    instant written_by{};
};

/// Timing of the leader election. A renewal is one append (a few ms). A successor takes over after
/// three missed renewals, which is within the 2.5 s that callers notice.
struct election_timing {
    duration renewal_interval = std::chrono::milliseconds(400);
    duration takeover_timeout = std::chrono::milliseconds(1300);
    duration retry_delay = std::chrono::milliseconds(150);
    /// How long this host waits before it claims, so that hosts with more CPU claim first. A
    /// coordinator makes some hundred calls a second for every hundred workers; a host with a small
    /// share of a core falls behind and reads every answer after its timeout.
    duration claim_delay{};
};

/// The claim delay of a host with this share of a core: none from a quarter of a core on, one
/// second for a share of 0.
duration claim_delay_for(double cpu_share);

/// Elects one coordinator among the hosts through a stream of the log. Every record is appended
/// only if the stream still ends at the offset up to which its writer has read
/// (compare-and-append), so that all hosts see the same history: a claim starts a leadership term,
/// its offset gives the epoch, renewals extend the term. A host claims when the log answers and
/// shows no renewal for the takeover timeout, or at once after a resignation. Does no I/O of its
/// own: driven by `tick` and the log's answers. Owned by the host's daemon.
class leader_election {
public:
    /// `self` identifies this incarnation of the process.
    leader_election(const clock& time, durable_log& log, incarnation_id self,
                    std::string bus_address, const election_timing& times);
    ~leader_election();

    void tick();
    /// Ends this host's term and never claims again, for a planned shutdown. Keep calling `tick`
    /// until the log has stored the resignation. `outstanding` tells the successor what the term
    /// leaves behind.
    void resign(std::string outstanding = "");
    /// Stops trying to store the resignation, because the process ends.
    void abandon_resignation();
    /// Steps down after other evidence of a higher epoch, or because this host can't do the work.
    /// May claim again later.
    void step_down();
    /// Sets whether this host may claim the coordinator role; true by default.
    void set_candidate(bool standing) { is_candidate_ = standing; }

    bool is_leader() const { return is_leader_; }
    /// Whether the log shows that there is no coordinator.
    bool is_vacant() const { return leadership_vacant_; }
    /// Whether this host has resigned for good.
    bool has_resigned() const { return resigned_; }
    lease_epoch epoch() const { return epoch_; }
    /// Whether the predecessor is known to have ended, by its resignation or by a restart of its
    /// host, when this host's term began.
    bool predecessor_has_ended() const { return predecessor_has_ended_; }
    /// The coordinator of the previous term; nothing if it resigned, if there was none, or if the
    /// log has discarded records that would show another one since.
    const std::optional<leader_info>& predecessor() const { return predecessor_; }
    /// The resignation that this host's term followed; nothing if the term before ended otherwise.
    const std::optional<resigned_term>& resigned_predecessor() const {
        return resigned_predecessor_;
    }
    /// The newest record that this host has read, if it is a resignation. This host's term, if its
    /// claim succeeds, follows it.
    const std::optional<resigned_term>& last_resignation() const { return last_resignation_; }
    /// The time until which predecessors may have sent orders: their resignation, or
    /// `max_unconfirmed_leadership` after their last record in the log.
    instant predecessors_acted_until() const { return acted_until_; }
    /// The time until which predecessors may have renewed worker leases for the full duration:
    /// their resignation, or `full_renewal_limit` after their last record in the log.
    instant predecessors_renewed_leases_until() const { return leases_renewed_until_; }
    /// When the claim or renewal that the log confirmed last was sent.
    instant confirmed_at() const { return confirmed_at_; }
    /// Whether this host is coordinator and the log has confirmed it within `max_confirmation_age`.
    bool is_confirmed() const;
    const std::optional<leader_info>& current_leader() const { return current_leader_; }
    /// Whether the log's last reply to this host was an answer, not an error or a timeout.
    bool log_answers() const { return log_answers_; }

private:
    void read_first_page();
    void follow();
    void set_vacant(bool vacant);
    void apply_read(const read_result& read, bool waited);
    instant latest_start_time(const std::vector<stored_record>& records) const;
    void update_predecessor_limits(const election_record& record, instant written_by);
    void retire_current_leader();
    void handle_lost_history();
    void count_unread_terms(instant written_by);
    bool apply_records(const std::vector<stored_record>& records);
    void claim();
    void renew();
    void become_leader(std::uint64_t claimed_at, instant confirmed);
    void start_resignation(std::uint64_t end);
    void handle_moved_end();
    void append(election_record::kind what, std::function<void(const append_result&)> done);

    const clock& time_;
    durable_log& log_;
    incarnation_id self_;
    std::string bus_address_;
    election_timing timing_;
    bool call_in_flight_ = false;
    bool end_offset_known_ = false;
    bool resigned_ = false;
    bool is_candidate_ = true;
    bool is_leader_ = false;
    bool log_answers_ = false;
    bool leadership_vacant_ = false;
    /// Since when the log has shown no coordinator.
    std::optional<instant> vacant_since_;
    bool leader_has_ended_ = false;
    bool predecessor_has_ended_ = false;
    /// The latest time at which the newest record can have been written.
    instant last_record_at_{};
    /// Records that this host had not read were discarded by the log before this time.
    std::optional<instant> history_lost_at_;
    /// A coordinator of which no record was read may have followed the current one, or may have
    /// come between two of its terms.
    bool may_lack_terms_ = false;
    instant acted_until_{};
    instant leases_renewed_until_{};
    lease_epoch epoch_;
    std::uint64_t end_offset_ = 0;
    instant next_call_at_{};
    instant confirmed_at_{};
    std::optional<leader_info> current_leader_;
    std::optional<leader_info> predecessor_;
    /// The newest record, if it is a resignation.
    std::optional<resigned_term> last_resignation_;
    std::optional<resigned_term> resigned_predecessor_;
    std::string own_outstanding_;
    std::unique_ptr<resignation_writer> resignation_;
    /// Expires with this object. Callbacks hold a weak reference and ignore answers that come
    /// later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
