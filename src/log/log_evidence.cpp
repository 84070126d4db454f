#include "figwinch/log/log_evidence.h"

#include <algorithm>

namespace figwinch {

void log_evidence::note_confirmed(instant sent_at) {
    confirmed_at_ = ever_confirmed_ ? std::max(confirmed_at_, sent_at) : sent_at;
    outage_until_ = std::max(outage_until_, confirmed_at_);
    ever_confirmed_ = true;
}

void log_evidence::note_unavailable(instant sent_at) {
    // A gap longer than the limit may hide a moment in which the log accepted a change; the chain
    // then stays broken until the tail is seen again.
    if (!ever_confirmed_ || sent_at - outage_until_ > limits_.max_gap)
        return;
    outage_until_ = std::max(outage_until_, sent_at);
}

freshness log_evidence::judge(instant now) const {
    if (!ever_confirmed_)
        return freshness::unknown;
    if (now - confirmed_at_ <= limits_.for_starts)
        return freshness::confirmed;
    if (now - outage_until_ <= limits_.max_gap)
        return freshness::outage;
    return freshness::unknown;
}

} // namespace figwinch
