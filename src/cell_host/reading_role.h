#pragma once

#include "figwinch/link.h"

#include <optional>

namespace figwinch {

/// Whether this host keeps a copy of the cell's jobs or asks readers. The coordinator tells; a host
/// that nobody tells, or whose readers are all gone, reads for itself. Hosts that begin to read
/// without having been told do so at different times. Owned by `cell_member`.
class reading_role {
public:
    /// `self` spreads hosts in time.
    reading_role(const clock& time, const incarnation_id& self);

    bool reads() const { return reads_; }
    /// Whether a coordinator is about to tell this host its part: nothing is loaded meanwhile.
    bool awaits_word() const;
    const replica_list& readers() const { return readers_; }
    /// The coordinator's word.
    void take(const offer_reply& reply);
    /// `vacant`: the log shows no coordinator.
    void tick(bool vacant);
    /// No reader could answer a question, or one did.
    void note_unanswered();
    void note_answered() { unanswered_since_.reset(); }

private:
    void read_for_itself(std::string_view why);
    bool is_past(const std::optional<instant>& since) const;

    const clock& time_;
    duration patience_;
    bool reads_ = true;
    /// When a coordinator first replied, and whether one has told this host its part.
    std::optional<instant> coordinator_heard_at_;
    bool told_ = false;
    replica_list readers_;
    std::optional<instant> vacant_since_;
    std::optional<instant> unanswered_since_;
    /// Reads until then, whatever it is told.
    instant own_until_{};
};

} // namespace figwinch
