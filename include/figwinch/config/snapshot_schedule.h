#pragma once

#include "figwinch/base.h"

#include <optional>

namespace figwinch {

/// Decides when this process appends the configuration's snapshot again. Each process waits for its
/// own share of a spread, so that of all hosts one or two append and the others see it in time.
class snapshot_schedule {
public:
    /// `spread` and the age limit follow from `retention`.
    snapshot_schedule(node_id self, duration retention, std::uint64_t snapshot_every);

    /// The record at `offset` begins a whole state: a snapshot, or the first record of the log.
    /// `age` is how old it seems to be.
    void note_base(log_offset offset, duration age, instant now);
    /// This process's state did not come from the log, so that the age of its base is unknown.
    void note_unknown_base(log_offset offset, instant now);

    /// Whether to append now, when the state reaches through `offset`.
    bool is_due(log_offset offset, instant now);
    /// Waits for the snapshot to come back through the log before trying again.
    void note_attempt(instant now);

private:
    duration share_of_spread(log_offset base) const;

    node_id self_;
    duration age_limit_;
    duration spread_;
    std::uint64_t snapshot_every_;
    log_offset base_;
    /// When the base grows too old.
    std::optional<instant> too_old_at_;
    /// When this process's turn comes, once a snapshot is needed.
    std::optional<instant> turn_at_;
};

} // namespace figwinch
