// Time and state of interference control against the number of hosts, each with one service and
// eight batch tasks; one round is one report and one decision for every host.

#include "bench/bench_report.h"
#include "figwinch/interference.h"

FIGWINCH_BENCH(interference_decide) {
    using namespace figwinch;
    constexpr auto target = std::chrono::milliseconds(100);
    for (const int hosts : {38, 76, 152, 304, 608}) {
        std::vector<std::string> names;
        std::vector<std::vector<batch_neighbour>> tasks;
        for (int host = 0; host < hosts; ++host) {
            names.push_back("host-" + std::to_string(host));
            std::vector<batch_neighbour>& listed = tasks.emplace_back();
            for (int task = 0; task < 8; ++task)
                listed.push_back({.task = task_id(names.back() + "/" + std::to_string(task)),
                                  .copied_from = template_id("template-" + std::to_string(task)),
                                  .used = {.cpu_millis = 1000}});
        }
        const double before = heap_bytes();
        const auto control = interference_controller::create({});
        manual_clock clock;
        std::size_t actions = 0;
        const double seconds = median_seconds(20, [&] {
            clock.advance(std::chrono::seconds(1));
            for (std::size_t host = 0; host < names.size(); ++host) {
                control->observe_latency(names[host], service_id("reference-pass"), target, target,
                                         100, clock.now());
                actions += control->decide(names[host], tasks[host], clock.now()).size();
            }
        });
        keep(actions);
        out.add("round", hosts, seconds * 1e6, "us");
        out.add("heap", hosts, heap_bytes() - before, "bytes");
    }
}
