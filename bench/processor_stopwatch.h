#pragma once

#include <ctime>
#include <utility>

namespace figwinch {

/// Accumulates the processor time of the calls between `resume` and `pause`.
class processor_stopwatch {
public:
    void resume() { resumed_at_ = processor_us(); }
    void pause() { total_us_ += processor_us() - resumed_at_; }
    double total_us() const { return total_us_; }

private:
    static double processor_us() {
        timespec used{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) * 1e-3;
    }

    double resumed_at_ = 0;
    double total_us_ = 0;
};

/// Pauses the stopwatch while `call`, which the coordinator makes to the outside, is carried out.
template <class Call>
void unmeasured(processor_stopwatch& stopwatch, Call&& call) {
    stopwatch.pause();
    call();
    stopwatch.resume();
}

/// Wraps a callback into the coordinator so that its processor time is measured.
template <class Handler>
auto measured(processor_stopwatch& stopwatch, Handler handler) {
    return [&stopwatch, handler = std::move(handler)](const auto&... results) {
        stopwatch.resume();
        handler(results...);
        stopwatch.pause();
    };
}

} // namespace figwinch
