#pragma once

#include "figwinch/base/clock.h"

#include <algorithm>

namespace figwinch {

/// Estimates how long the messages of one sender were on their way, without a common clock: the
/// quickest message of the last one to two windows counts as not delayed, and any other by how much
/// longer it took. A window passes so that the drift between the two clocks stays below a few
/// milliseconds.
class message_age_estimator {
public:
    /// The delay of a message that the sender stamped `sent` on its own clock.
    duration age(instant sent, instant now) {
        if (now - window_start_ >= window || first_) {
            previous_least_ = first_ ? duration::max() : least_;
            least_ = duration::max();
            window_start_ = now;
            first_ = false;
        }
        const duration apparent = now - sent;
        least_ = std::min(least_, apparent);
        return apparent - std::min(least_, previous_least_);
    }

    /// True when nothing has been heard for so long that the estimate says nothing any more.
    bool is_stale(instant now) const { return now - window_start_ >= 2 * window; }

private:
    static constexpr duration window = std::chrono::seconds(60);

    instant window_start_{};
    duration least_ = duration::max();
    duration previous_least_ = duration::max();
    bool first_ = true;
};

} // namespace figwinch
