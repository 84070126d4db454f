#pragma once

#include "bench/processor_stopwatch.h"
#include "figwinch/cell/durable_log.h"

namespace figwinch {

/// Passes appends on outside of the measured time, and measures how their answers are handled.
/// Reads aren't passed on.
class measured_log final : public durable_log {
public:
    measured_log(durable_log& log, processor_stopwatch& stopwatch)
        : log_(log), stopwatch_(stopwatch) {}

    void append(cell_stream stream, const std::vector<stored_record>& records,
                const append_guard& guard, std::function<void(append_result)> done) override {
        unmeasured(stopwatch_, [&] {
            log_.append(stream, records, guard, measured(stopwatch_, std::move(done)));
        });
    }
    void read(cell_stream, std::uint64_t, duration, std::function<void(read_result)>) override {}
    void read_newest(cell_stream, const std::string&, std::function<void(newest_result)>) override {
    }

private:
    durable_log& log_;
    processor_stopwatch& stopwatch_;
};

} // namespace figwinch
