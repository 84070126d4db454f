#include "cell_host/intake_writer.h"

#include <algorithm>

// How long callers' records will take to be stored.
namespace figwinch {
namespace {

constexpr duration measure_life = std::chrono::seconds(1);
constexpr duration writing_life = std::chrono::seconds(2);

} // namespace

/// What can't be stored in its caller's time is refused before that is over.
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

/// Then the others' appends are leaving the log's queue, and how long those of this host waited
/// behind them says nothing of the next.
bool intake_writer::writes_for_others() const {
    return handed_here_ && with_.time.now() - *handed_here_ < writing_life;
}

/// Until an entry is stored that has so many before it: what is left of what is on its way, and one
/// round more for each batch. An old measure counts for nothing.
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
