#include "cell_host/handover_sender.h"

#include <algorithm>
#include <utility>

namespace figwinch {

void handover_sender::hand_over(intake_entries entries) {
    busy_ = true;
    entries_ = std::move(entries);
    handed_at_ = time_.now();
    const auto last = std::ranges::max_element(entries_, {}, &intake_entry::deadline);
    writer_->hand_over(records_of(entries_), last->deadline - handed_at_,
                       [this, weak = std::weak_ptr(alive_)](const handover_result& result) {
                           if (!weak.expired())
                               handle_result(result);
                       });
}

duration handover_sender::time_left() const {
    return busy_ ? std::max(duration::zero(), handed_at_ + latest_ - time_.now())
                 : duration::zero();
}

void handover_sender::handle_result(const handover_result& result) {
    busy_ = false;
    if (result.outcome == handover_result::kind::stored)
        latest_ = time_.now() - handed_at_;
    on_result_(std::exchange(entries_, {}), result);
}

} // namespace figwinch
