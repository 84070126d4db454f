#include "figwinch/routing/circuit_breaker.h"

#include <algorithm>

namespace figwinch {

bool circuit_breaker::allows(instant now) const {
    return !is_open() || (!trial_ && now >= open_until_);
}

void circuit_breaker::note_sent() {
    trial_ = is_open();
}

void circuit_breaker::note_success() {
    failures_ = 0;
    pause_ = duration::zero();
    trial_ = false;
}

void circuit_breaker::note_failure(instant now) {
    ++failures_;
    if (is_open() && !trial_)
        return;
    trial_ = false;
    if (failures_ < with_.failures_to_open)
        return;
    pause_ = is_open() ? std::min(with_.max_pause, pause_ * 2) : with_.first_pause;
    open_until_ = now + pause_;
}

void circuit_breaker::note_neutral() {
    trial_ = false;
}

} // namespace figwinch
