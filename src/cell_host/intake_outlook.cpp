#include "cell_host/intake_writer.h"

#include <algorithm>

// The part of `intake_writer` that estimates how long callers' records will take to be stored.
namespace figwinch {
namespace {

constexpr duration measure_life = std::chrono::seconds(1);
constexpr duration writing_life = std::chrono::seconds(2);

} // namespace

/// Rejects entries that can't be stored by their deadlines at once, rather than at the deadlines.
/// Entries that may be stored already are kept.
void intake_writer::refuse_hopeless() {
    const duration head = wait_of(0);
    const duration round = wait_of(intake_queue::most_entries) - head;
    std::size_t ahead = 0;
    intake_entries keep;
    for (intake_entry& entry : waiting_.take_all()) {
        const auto batches = static_cast<int>(ahead++ / intake_queue::most_entries);
        const instant stored = with_.time.now() + head + round * batches;
        if (entry.doubtful || stored <= entry.deadline)
            keep.push_back(std::move(entry));
        else
            entry.end(intake_outcome::not_stored);
    }
    waiting_.put_back(std::move(keep));
}

duration intake_writer::expected_wait() const {
    return pace_.is_slow() ? wait_of(waiting_.size()) : duration::zero();
}

/// Whether other hosts have handed records over to this host recently. If so, they no longer append
/// on their own, and the latencies that this host measured while its appends queued behind theirs
/// don't predict the next append.
bool intake_writer::writes_for_others() const {
    return handed_here_ && with_.time.now() - *handed_here_ < writing_life;
}

/// Estimated time until an entry with `ahead` entries before it is stored: the rest of the append
/// in flight, and one append for each batch. Zero if the last measurement is too old.
duration intake_writer::wait_of(std::size_t ahead) const {
    if (hands_over())
        return lane_.left();
    if (!in_flight_ && !pace_.measured_within(measure_life))
        return duration::zero();
    const duration round = writes_for_others() ? duration::zero() : pace_.least();
    const duration left = in_flight_
                              ? std::max(duration::zero(), sent_at_ + round - with_.time.now())
                              : duration::zero();
    return left + round * static_cast<int>(1 + ahead / intake_queue::most_entries);
}

} // namespace figwinch
