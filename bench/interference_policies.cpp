// No control, static reservation at four levels, three simple controllers, and ours, with and
// without learned placement and acting only at the target, on the same loads and arrivals; median
// and spread (highest less lowest) over seeds. `size` is the number of hosts.

#include "bench/bench_report.h"
#include "bench/interference_aimd.h"
#include "bench/interference_cluster.h"
#include "bench/interference_evict_first.h"
#include "bench/interference_usage.h"

#include <functional>

namespace figwinch {
namespace {

constexpr std::uint64_t seed_count = 15;

using policy_maker = std::function<interference_policy()>;

interference_policy reservation(const std::string& name, double fraction) {
    return {
        .name = name, .room_fraction = fraction, .controller = nullptr, .learned_placement = false};
}

interference_policy controlled(const std::string& name, bool learned_placement,
                               double act_above = 0.85) {
    return {.name = name,
            .room_fraction = 1,
            .controller = interference_controller::create({.act_above = act_above}),
            .learned_placement = learned_placement};
}

interference_policy compared(const std::string& name,
                             std::unique_ptr<interference_controller> controller) {
    return {.name = name,
            .room_fraction = 1,
            .controller = std::move(controller),
            .learned_placement = false};
}

std::vector<policy_maker> policies() {
    std::vector<policy_maker> all;
    all.emplace_back([] { return reservation("service_alone", 0); });
    all.emplace_back([] { return reservation("no_control", 1); });
    for (const int percent : {10, 20, 40, 60}) {
        all.emplace_back([percent] {
            return reservation("static_" + std::to_string(percent), percent / 100.0);
        });
    }
    all.emplace_back(
        [] { return compared("usage_3_cores", std::make_unique<interference_usage>(3)); });
    all.emplace_back(
        [] { return compared("evict_first", std::make_unique<interference_evict_first>()); });
    all.emplace_back([] { return compared("aimd", std::make_unique<interference_aimd>()); });
    all.emplace_back([] { return controlled("controller_without_pairs", false); });
    all.emplace_back([] { return controlled("controller", true); });
    all.emplace_back([] { return controlled("controller_at_target", true, 1); });
    return all;
}

void add_row(const bench_report& out, const std::string& metric, const std::vector<double>& values,
             std::string_view unit) {
    const auto [lowest, highest] = std::ranges::minmax(values);
    out.add(metric + ".median", interference_cluster::hosts, median(values), unit);
    out.add(metric + ".spread", interference_cluster::hosts, highest - lowest, unit);
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(interference_policies) {
    using namespace figwinch;
    for (const policy_maker& make : policies()) {
        std::vector<double> p99;
        std::vector<double> over;
        std::vector<double> cores;
        std::vector<double> evictions;
        std::vector<double> changes;
        std::string name;
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            interference_policy policy = make();
            name = policy.name;
            const interference_outcome outcome = interference_cluster(seed * 100).run(policy);
            p99.push_back(outcome.p99_ratio);
            over.push_back(outcome.over_target_percent);
            cores.push_back(outcome.batch_cores);
            evictions.push_back(static_cast<double>(outcome.evictions));
            changes.push_back(static_cast<double>(outcome.throttle_changes));
        }
        add_row(out, name + ".p99_ratio", p99, "ratio");
        add_row(out, name + ".over_target", over, "percent");
        add_row(out, name + ".batch", cores, "cores");
        add_row(out, name + ".evictions", evictions, "count");
        add_row(out, name + ".throttle_changes", changes, "count");
    }
}
