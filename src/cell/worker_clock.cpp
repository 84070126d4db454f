#include "cell/worker_clock.h"

#include "figwinch/cell/cell_settings.h"

namespace figwinch {
namespace {

std::int64_t elapsed_ms(instant from, instant to) {
    const auto micros = static_cast<double>((to - from).count());
    return static_cast<std::int64_t>(micros * min_clock_rate / 1000.0);
}

} // namespace

void worker_clock::observe(std::int64_t clock_ms, instant received) {
    const std::optional<std::int64_t> known = lower_bound(received);
    // Ignore answers that arrive out of order: a later one has already given a better bound.
    if (known && *known >= clock_ms)
        return;
    clock_ms_ = clock_ms;
    received_ = received;
}

std::optional<std::int64_t> worker_clock::lower_bound(instant now) const {
    if (!clock_ms_)
        return std::nullopt;
    return *clock_ms_ + elapsed_ms(received_, now);
}

} // namespace figwinch
