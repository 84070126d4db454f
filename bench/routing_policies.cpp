// Weighs ways to share executors between entries (docs/design/interactive.md), and counts what one
// routing decision costs.

#include "bench/bench_report.h"
#include "bench/routing_policy.h"

#include <memory>

namespace figwinch {
namespace {

using bench::routing_load;
using bench::routing_model;
using bench::routing_outcome;

constexpr int seeds = 5;

std::unique_ptr<routing_model::policy> make_policy(const std::string& name, routing_model& model) {
    if (name == "random" || name == "round_robin")
        return std::make_unique<bench::refusal_policy>(model, name == "round_robin");
    if (name == "shares")
        return std::make_unique<bench::share_policy>(model);
    return std::make_unique<bench::owner_policy>(name == "owner_queues");
}

void measure(const bench_report& report, const std::string& policy, const std::string& scenario,
             routing_load load) {
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> refused;
    std::vector<double> messages;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        load.seed = seed;
        routing_model model(load);
        const auto rule = make_policy(policy, model);
        const routing_outcome outcome = model.run(*rule);
        p50.push_back(outcome.p50_ms);
        p99.push_back(outcome.p99_ms);
        refused.push_back(outcome.refused_percent);
        messages.push_back(outcome.messages_per_request);
    }
    const std::string name = policy + "/" + scenario;
    report.add(name + "/p50", load.load_percent, median(p50), "ms");
    report.add(name + "/p99", load.load_percent, median(p99), "ms");
    report.add(name + "/p99_min", load.load_percent, *std::ranges::min_element(p99), "ms");
    report.add(name + "/p99_max", load.load_percent, *std::ranges::max_element(p99), "ms");
    report.add(name + "/refused", load.load_percent, median(refused), "%");
    report.add(name + "/messages", load.load_percent, median(messages), "per request");
}

FIGWINCH_BENCH(routing_policies) {
    for (const std::string policy : {"random", "round_robin", "shares", "owner", "owner_queues"}) {
        for (const int percent : {50, 80, 95, 120})
            measure(out, policy, "all", {percent, false, false, 1});
        for (const int percent : {80, 95}) {
            measure(out, policy, "entry_lost", {percent, true, false, 1});
            measure(out, policy, "slow", {percent, false, true, 1});
        }
    }
}

/// One `acquire` and one `release` in an entry that owns an eighth of the executors it knows.
FIGWINCH_BENCH(routing_decision) {
    constexpr int decisions = 20'000;
    const data_centre_id here("dc");
    const instant now{std::chrono::hours(1)};
    for (const int known : {100, 500, 2500, 20'000}) {
        manifest config;
        for (int i = 0; i < known; ++i) {
            executor_spec spec;
            spec.name = executor_id("executor-" + std::to_string(i));
            spec.data_centre = here;
            config.executors.push_back(spec);
        }
        std::vector<node_id> live;
        live.reserve(routing_model::entries);
        for (int i = 0; i < routing_model::entries; ++i)
            live.emplace_back("entry-" + std::to_string(i));
        executor_pool pool({}, here, live.front());
        pool.configure(config);
        pool.set_entries(live);
        std::vector<double> runs;
        for (int run = 0; run < seeds; ++run) {
            const auto begun = std::chrono::steady_clock::now();
            for (int i = 0; i < decisions; ++i) {
                const auto name = pool.acquire(service_id("s"), {}, now);
                pool.release(*name, dispatch_end::answered, routing_model::mean_work, now);
            }
            const auto took = std::chrono::steady_clock::now() - begun;
            runs.push_back(std::chrono::duration<double, std::nano>(took).count() / decisions);
        }
        out.add("decision", known, median(runs), "ns");
        out.add("decision_max", known, *std::ranges::max_element(runs), "ns");
    }
}

} // namespace
} // namespace figwinch
