// Follows what a process can prove about its view of the log: confirmed, then an outage that the
// log itself states, then silence.

#include "figwinch/log.h"

#include <iostream>

namespace {

const char* name_of(figwinch::freshness judged) {
    switch (judged) {
    case figwinch::freshness::confirmed:
        return "confirmed: starts may go on";
    case figwinch::freshness::outage:
        return "outage: nothing can have been accepted, starts may go on";
    case figwinch::freshness::unknown:
        return "unknown: no starts";
    }
    return "";
}

} // namespace

int main() {
    constexpr auto poll = std::chrono::milliseconds(200);
    figwinch::manual_clock time;
    figwinch::log_evidence evidence{figwinch::freshness_limits{}};
    evidence.note_confirmed(time.now());
    std::cout << name_of(evidence.judge(time.now())) << '\n';

    for (int i = 0; i < 20; ++i) {
        time.advance(poll);
        evidence.note_unavailable(time.now());
    }
    std::cout << name_of(evidence.judge(time.now())) << '\n';

    time.advance(std::chrono::seconds(5));
    std::cout << name_of(evidence.judge(time.now())) << '\n';
}
