#include "cell_host/intake_writer.h"

#include <algorithm>

// The part of `intake_writer` that estimates how long callers' records will take to be stored.
namespace figwinch {
namespace {

constexpr duration measurement_lifetime = std::chrono::seconds(1);
constexpr duration recent_handover_window = std::chrono::seconds(2);

} // namespace

/// Rejects entries that can't be stored by their deadlines at once, rather than at the deadlines.
/// Entries that may be stored already are kept.
void intake_writer::reject_unmeetable() {
    const duration head = estimated_wait(0);
    const duration round = estimated_wait(intake_queue::max_entries) - head;
    std::size_t ahead = 0;
    intake_entries keep;
    for (intake_entry& entry : waiting_.take_all()) {
        const auto batches = static_cast<int>(ahead++ / intake_queue::max_entries);
        const instant stored = deps_.time.now() + head + round * batches;
        if (entry.may_be_stored || stored <= entry.deadline)
            keep.push_back(std::move(entry));
        else
            entry.complete(intake_outcome::not_stored);
    }
    waiting_.put_back(std::move(keep));
}

duration intake_writer::expected_wait() const {
    return append_latency_.is_slow() ? estimated_wait(waiting_.size()) : duration::zero();
}

/// Whether other hosts have handed records over to this host recently. If so, they no longer append
/// on their own, and the latencies that this host measured while its appends queued behind theirs
/// don't predict the next append.
bool intake_writer::writes_for_others() const {
    return last_handover_at_ && deps_.time.now() - *last_handover_at_ < recent_handover_window;
}

/// Estimated time until an entry with `ahead` entries before it is stored: the rest of the append
/// in flight, and one append for each batch. Zero if the last measurement is too old.
duration intake_writer::estimated_wait(std::size_t ahead) const {
    if (uses_shared_writer())
        return handover_sender_.time_left();
    if (!in_flight_ && !append_latency_.measured_within(measurement_lifetime))
        return duration::zero();
    const duration round =
        writes_for_others() ? duration::zero() : append_latency_.lowest_while_slow();
    const duration left = in_flight_
                              ? std::max(duration::zero(), sent_at_ + round - deps_.time.now())
                              : duration::zero();
    return left + round * static_cast<int>(1 + ahead / intake_queue::max_entries);
}

} // namespace figwinch
