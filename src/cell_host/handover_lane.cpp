#include "cell_host/handover_lane.h"

#include <algorithm>
#include <utility>

namespace figwinch {

void handover_lane::hand(intake_entries entries) {
    busy_ = true;
    entries_ = std::move(entries);
    handed_at_ = time_.now();
    const auto last = std::ranges::max_element(entries_, {}, &intake_entry::deadline);
    writer_->hand(records_of(entries_), last->deadline - handed_at_,
                  [this, weak = std::weak_ptr(alive_)](const handover_result& result) {
                      if (!weak.expired())
                          take(result);
                  });
}

duration handover_lane::left() const {
    return busy_ ? std::max(duration::zero(), handed_at_ + latest_ - time_.now())
                 : duration::zero();
}

void handover_lane::take(const handover_result& result) {
    busy_ = false;
    if (result.outcome == handover_result::kind::stored)
        latest_ = time_.now() - handed_at_;
    back_(std::exchange(entries_, {}), result);
}

} // namespace figwinch
