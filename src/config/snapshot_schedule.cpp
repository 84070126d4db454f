#include "figwinch/config/snapshot_schedule.h"

#include <algorithm>
#include <string>

namespace figwinch {
namespace {

constexpr int age_divisor = 2;
constexpr int spread_divisor = 8;

} // namespace

snapshot_schedule::snapshot_schedule(node_id self, duration retention, std::uint64_t snapshot_every)
    : self_(std::move(self)), age_limit_(retention / age_divisor),
      spread_(retention / spread_divisor), snapshot_every_(snapshot_every) {}

void snapshot_schedule::note_base(log_offset offset, duration age, instant now) {
    base_ = offset;
    // The age comes from the writer's civil time; a wrong one only brings a snapshot early, or as
    // late as if it had been written now.
    too_old_at_ = now + age_limit_ - std::clamp(age, duration::zero(), age_limit_);
    turn_at_.reset();
}

void snapshot_schedule::note_unknown_base(log_offset offset, instant now) {
    note_base(offset, age_limit_, now);
}

bool snapshot_schedule::is_due(log_offset offset, instant now) {
    if (!too_old_at_.has_value())
        return false;
    const bool needed = now >= *too_old_at_ || offset.value() >= base_.value() + snapshot_every_;
    if (!needed)
        return false;
    if (!turn_at_.has_value())
        turn_at_ = now + share_of_spread(base_);
    return now >= *turn_at_;
}

void snapshot_schedule::note_attempt(instant now) {
    turn_at_ = now + spread_;
}

duration snapshot_schedule::share_of_spread(log_offset base) const {
    constexpr std::uint64_t steps = 1 << 16;
    const std::uint64_t share =
        rendezvous_weight(self_.str(), std::to_string(base.value())) % steps;
    return spread_ * static_cast<std::int64_t>(share) / static_cast<std::int64_t>(steps);
}

} // namespace figwinch
