#include "figwinch/routing/retry_policy.h"

#include <algorithm>

namespace figwinch {

retry_policy::retry_policy(const settings& with, std::uint64_t seed)
    : with_(with), random_(seed), tokens_(with.first_tokens) {}

void retry_policy::note_request() {
    tokens_ = std::min(with_.max_tokens, tokens_ + with_.tokens_per_request);
}

retry_decision retry_policy::decide(const dispatch_history& history, dispatch_end end,
                                    duration left) {
    const bool safe = is_proven_not_run(end) || history.idempotent;
    const bool tried_enough = history.dispatches >= with_.max_dispatches;
    const bool no_budget = tokens_ < 1;
    const duration pause = jittered_backoff(history.dispatches);
    const bool ended = end == dispatch_end::answered || end == dispatch_end::failed;
    if (ended || !safe || tried_enough || no_budget || pause >= left)
        return {std::nullopt, final_code(history, end, no_budget && safe && !ended, left)};
    tokens_ -= 1;
    return {pause, result_code::ok};
}

result_code retry_policy::final_code(const dispatch_history& history, dispatch_end end,
                                     bool no_budget, duration left) {
    if (end == dispatch_end::answered)
        return result_code::ok;
    if (end == dispatch_end::failed)
        return result_code::executor_failed;
    // An earlier dispatch may have run, whatever the last one proves of itself.
    const bool may_have_run = history.may_have_run || !is_proven_not_run(end);
    if (may_have_run)
        return left <= duration::zero() ? result_code::deadline_passed
                                        : result_code::outcome_unknown;
    return no_budget ? result_code::retry_budget_spent : result_code::executor_refused;
}

duration retry_policy::jittered_backoff(int dispatches) {
    const int doublings = std::clamp(dispatches - 1, 0, 10);
    const duration longest = std::min(with_.max_backoff, with_.backoff * (1 << doublings));
    std::uniform_int_distribution<duration::rep> spread(0, longest.count());
    return duration(spread(random_));
}

} // namespace figwinch
