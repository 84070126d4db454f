#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/record_codec.h"

#include <functional>
#include <memory>
#include <optional>

namespace figwinch {

class resignation;

/// Who the coordinator is, as far as a host knows.
struct reign_view {
    incarnation_id holder;
    std::string bus_address;
    lease_epoch epoch;
};

/// Times of the election. Grounds: a renewal is one append (some ms); a successor takes over after
/// three renewals have been missed, within the 2.5 s that callers notice.
struct reign_times {
    duration renew_every = std::chrono::milliseconds(400);
    duration takeover_after = std::chrono::milliseconds(1300);
    duration retry_after = std::chrono::milliseconds(150);
    /// How long this host lets others claim first. A coordinator makes some hundred calls a second
    /// for every hundred workers; a host with a small share of a core falls behind, and then every
    /// answer comes after its timeout.
    duration modesty{};
};

/// The modesty of a host with a share of a core: none from a quarter of a core on, a second
/// at none.
duration modesty_of(double cpu_share);

/// Elects one coordinator among hosts through a stream of the log. Every record is appended on the
/// condition that the stream ends where its writer thinks (compare-and-append), so that the records
/// form one history: a claim starts a reign, its offset gives the epoch, renewals carry it on. A
/// host claims when the log answers and shows no renewal for `takeover_after`, or at once after a
/// resignation. Rules only: `tick` and the log's answers drive it. Owned by the host's daemon.
class reign {
public:
    /// `self` names this life of the process.
    reign(const clock& time, durable_log& log, incarnation_id self, std::string bus_address,
          const reign_times& times);
    ~reign();

    void tick();
    /// Gives up the reign and never claims again, for a planned stop. `tick` goes on until the log
    /// has the resignation.
    void resign();
    /// The process ends: what the log doesn't have of a resignation is given up.
    void abandon_resignation();
    /// Gives up the reign after another sign of a higher epoch; may claim again later.
    void yield();
    /// Whether this host claims when its turn comes; it does unless told otherwise.
    void stand(bool standing) { standing_ = standing; }

    bool leads() const { return leads_; }
    /// Whether the log shows no coordinator.
    bool is_vacant() const { return claim_now_; }
    /// Whether this host has given up for good.
    bool has_resigned() const { return resigned_; }
    lease_epoch epoch() const { return epoch_; }
    /// Whether the reign before this one ended by resignation.
    bool follows_resignation() const { return follows_resignation_; }
    /// Who held the reign before this one; nothing when it resigned or there was none.
    const std::optional<reign_view>& predecessor() const { return predecessor_; }
    /// Until when coordinators before this reign may have acted: up to their resignation, or for
    /// `max_unconfirmed_leadership` after their last record.
    instant predecessors_acted_until() const { return acted_until_; }
    /// Until when they may have prolonged leases in full: as above, with `full_renewal_limit`.
    instant predecessors_prolonged_until() const { return prolonged_until_; }
    /// When the newest confirmation of this reign was asked for.
    instant confirmed_at() const { return confirmed_at_; }
    /// Whether the log has confirmed this reign within `max_confirmation_age`.
    bool is_fresh() const;
    const std::optional<reign_view>& current() const { return current_; }
    /// Whether the log's last answer to this host was an answer.
    bool log_answers() const { return log_answers_; }

private:
    void find_end();
    void follow();
    void set_vacant(bool vacant);
    void take_read(const read_result& read, bool waited);
    instant latest_begin(const std::vector<stored_record>& records) const;
    void note_end_of(const reign_record& record, instant written_by);
    void count_current();
    bool take_records(const std::vector<stored_record>& records);
    void claim();
    void renew();
    void lead(std::uint64_t claimed_at, instant confirmed);
    void give_back(std::uint64_t end);
    void take_moved();
    void append(reign_record::kind what, std::function<void(const append_result&)> done);

    const clock& time_;
    durable_log& log_;
    incarnation_id self_;
    std::string bus_address_;
    reign_times times_;
    bool busy_ = false;
    bool end_known_ = false;
    bool resigned_ = false;
    bool standing_ = true;
    bool leads_ = false;
    bool log_answers_ = false;
    bool claim_now_ = false;
    /// When the reign was first seen vacant.
    std::optional<instant> vacant_since_;
    bool vacant_ = false;
    bool follows_resignation_ = false;
    /// When the newest record was written at the latest.
    instant heard_at_{};
    instant acted_until_{};
    instant prolonged_until_{};
    lease_epoch epoch_;
    std::uint64_t end_ = 0;
    instant next_try_{};
    instant confirmed_at_{};
    std::optional<reign_view> current_;
    std::optional<reign_view> predecessor_;
    std::unique_ptr<resignation> resignation_;
    /// Expires with this object: answers that come later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
