#include "cell_host/host_load_logger.h"

#include "figwinch/observe.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

duration span_of(const timeval& value) {
    return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
}

duration cpu_time() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return span_of(used.ru_utime) + span_of(used.ru_stime);
}

std::int64_t increase(std::uint64_t now, std::uint64_t before) {
    return static_cast<std::int64_t>(now - before);
}

void log_reads(cell_stream stream, const stream_reads& now, const stream_reads& before) {
    if (now.calls == before.calls && now.given_up == before.given_up)
        return;
    log_event(log_level::info, "stream_reads",
              {{"stream", std::string(to_string(stream))},
               {"calls", increase(now.calls, before.calls)},
               {"bytes", increase(now.bytes, before.bytes)},
               {"given_up", increase(now.given_up, before.given_up)},
               {"taken_ms", (now.total_time - before.total_time) / std::chrono::milliseconds(1)}});
}

} // namespace

void host_load_logger::on_tick(instant now) {
    if (due_ != instant{})
        max_delay_ = std::max(max_delay_, now - due_);
}

void host_load_logger::log(const host_load_totals& totals, std::size_t links, bool coordinates) {
    const host_load_totals before = std::exchange(last_totals_, totals);
    const duration processor = cpu_time();
    const duration used = processor - std::exchange(last_cpu_time_, processor);
    log_event(log_level::info, "host_load",
              {{"processor_ms", used / std::chrono::milliseconds(1)},
               {"loop_late_ms", std::exchange(max_delay_, {}) / std::chrono::milliseconds(1)},
               {"log_calls", increase(totals.log_calls, before.log_calls)},
               {"worker_calls", increase(totals.worker_calls, before.worker_calls)},
               {"passed_on", increase(totals.relayed_orders, before.relayed_orders)},
               {"questions", increase(totals.queries, before.queries)},
               {"jobs_accepted", increase(totals.jobs_accepted, before.jobs_accepted)},
               {"links", static_cast<std::int64_t>(links)},
               {"coordinates", coordinates}});
    for (const cell_stream stream : all_streams) {
        const auto at = static_cast<std::size_t>(stream);
        log_reads(stream, totals.reads.at(at), before.reads.at(at));
    }
}

} // namespace figwinch
