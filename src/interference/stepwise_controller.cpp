#include "interference/stepwise_controller.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr std::size_t max_hosts = 20'000;
constexpr std::size_t max_pairs = 20'000;
/// Lowest throttle; below it a task hardly runs and is better evicted.
constexpr int floor_percent = 20;
constexpr int lift_percent = 25;
/// Ratio to the limit above which tasks go to the floor in one step.
constexpr double bad = 1.25;
/// How far below the limit a step aims, and what isn't worth a throttle; both in the logarithm of
/// the ratio.
constexpr double spare = 0.15;
constexpr double negligible_gain = 0.01;
/// Steps at the floor before the first eviction: the last throttles may not have shown yet.
constexpr int floor_steps_before_evict = 2;
/// A release that is followed by a step within this was too early.
constexpr duration regret_window = std::chrono::seconds(30);
constexpr int max_calm_factor = 8;
/// Without any report for so long nobody is being served from the host.
constexpr duration silence_before_release = std::chrono::seconds(30);
/// Harm of a core at which the penalty is two thirds.
constexpr double telling_harm = 0.1;

} // namespace

std::unique_ptr<interference_controller> interference_controller::create(const settings& with) {
    return std::make_unique<stepwise_controller>(with);
}

stepwise_controller::stepwise_controller(const settings& with)
    : settings_(with), hosts_(max_hosts), harms_(max_pairs) {}

void stepwise_controller::observe_latency(const std::string& host, const service_id& service,
                                          duration p99, duration target, std::int64_t samples,
                                          instant now) {
    if (target <= duration::zero())
        return;
    const double ratio = static_cast<double>(p99.count()) / static_cast<double>(target.count());
    host_control::service_state& state = host_at(host, now).state_of(service);
    state.signal.add(ratio, samples, now);
    state.rate.add(samples, now);
}

stepwise_controller::actions stepwise_controller::decide(const std::string& host,
                                                         const std::vector<batch_neighbour>& listed,
                                                         instant now) {
    host_control& state = host_at(host, now);
    tasks running = state.ledger.apply(listed, now);
    const std::optional<host_control::worst_service> worst = state.worst(now);
    if (!worst)
        return relax_in_silence(state, running, now);
    learn(state, running, now);
    if (now - state.last_step < settings_.step_interval)
        return {};
    if (worst->ratio > settings_.act_above)
        return tighten(state, std::move(running), *worst, now);
    state.steps_at_floor = 0;
    if (worst->ratio >= settings_.release_below) {
        state.calm_since.reset();
        return {};
    }
    return relax(state, std::move(running), *worst, now);
}

host_control& stepwise_controller::host_at(const std::string& name, instant now) {
    host_control& host = hosts_.touch(name);
    if (host.first_seen == instant{})
        host.first_seen = now;
    return host;
}

double stepwise_controller::penalty(const std::string& host, const template_id& copied_from,
                                    instant /*now*/) const {
    const host_control* state = hosts_.find(host);
    if (state == nullptr)
        return 0;
    double highest = 0;
    for (const host_control::service_state& service : state->services)
        highest = std::max(highest, harms_.per_core(service.service, copied_from));
    return 1 - std::exp(-highest / telling_harm);
}

stepwise_controller::actions stepwise_controller::tighten(host_control& host, tasks running,
                                                          const host_control::worst_service& worst,
                                                          instant now) {
    note_calm_broken(host, now);
    if (running.empty())
        return {};
    sort_by_cost(running, worst.service);
    const double excess = worst.ratio / settings_.act_above;
    double needed = std::log(excess) + spare;
    actions steps;
    for (const controlled_task& task : running) {
        if (needed <= 0)
            break;
        if (task.percent <= floor_percent)
            continue;
        const int percent =
            excess >= bad ? floor_percent : std::max(task.percent / 2, floor_percent);
        const double cores = task.cores * (task.percent - percent) / task.percent;
        const double gain = harms_.per_core(worst.service, task.copied_from) * cores * worst.load;
        if (gain < negligible_gain)
            continue;
        needed -= gain;
        steps.push_back({task.task, interference_step::throttle, percent});
        host.ledger.note_throttled(task.task, percent, now);
    }
    if (steps.empty())
        return evict_one(host, running, worst.service, now);
    host.steps_at_floor = 0;
    begin_step(host, now);
    return steps;
}

stepwise_controller::actions stepwise_controller::evict_one(host_control& host,
                                                            const tasks& running,
                                                            const service_id& service,
                                                            instant now) {
    begin_step(host, now);
    if (++host.steps_at_floor <= floor_steps_before_evict)
        return {};
    // When no task is known to hurt, the service is slow by its own load, and an eviction would
    // lose work for nothing.
    const auto hurts = [&](const controlled_task& task) {
        return harms_.per_core(service, task.copied_from) >= harm_model::unknown;
    };
    const auto worst = std::ranges::find_if(running, hurts);
    if (worst == running.end())
        return {};
    // A task with a checkpoint loses nothing but the wait for another worker.
    const auto gentle = std::ranges::find_if(
        running, [&](const controlled_task& task) { return task.checkpointable && hurts(task); });
    const controlled_task& victim = gentle == running.end() ? *worst : *gentle;
    host.ledger.note_evicted(victim.task, now);
    return {{victim.task, interference_step::evict, 0}};
}

stepwise_controller::actions stepwise_controller::relax(host_control& host, tasks running,
                                                        const host_control::worst_service& worst,
                                                        instant now) {
    if (!host.calm_since)
        host.calm_since = now;
    if (now - *host.calm_since < std::max(host.calm_needed, settings_.calm_before_release))
        return {};
    sort_by_cost(running, worst.service);
    double room = std::log(settings_.act_above / worst.ratio) - spare;
    actions lifts;
    for (auto task = running.rbegin(); task != running.rend(); ++task) {
        if (task->percent >= 100)
            continue;
        const double cores = task->cores * lift_percent / task->percent;
        room -= harms_.per_core(worst.service, task->copied_from) * cores * worst.load;
        // The lightest is lifted in any case: a prediction that is too dark would never be mended.
        if (room < 0 && !lifts.empty())
            break;
        lifts.push_back(lift_one(host, *task, now));
    }
    if (lifts.empty())
        host.calm_needed = settings_.calm_before_release;
    return lifts;
}

stepwise_controller::actions
stepwise_controller::relax_in_silence(host_control& host, const tasks& running, instant now) {
    // Silence is not calm: the entry that reports may have died while requests go on elsewhere.
    // Its executors have a new owner within seconds, so after a longer silence none is served.
    if (now - host.last_heard() < silence_before_release)
        return {};
    if (now - host.last_release < settings_.calm_before_release)
        return {};
    const auto throttled =
        std::ranges::find_if(running, [](const auto& task) { return task.percent < 100; });
    if (throttled == running.end())
        return {};
    return {lift_one(host, *throttled, now)};
}

interference_action stepwise_controller::lift_one(host_control& host, const controlled_task& task,
                                                  instant now) {
    const int percent = std::min(task.percent + lift_percent, 100);
    host.ledger.note_throttled(task.task, percent, now);
    host.last_release = now;
    host.calm_since = now;
    begin_step(host, now);
    return {task.task, interference_step::throttle, percent};
}

void stepwise_controller::learn(const host_control& host, const tasks& running, instant now) {
    std::vector<exposure> neighbours;
    for (const controlled_task& task : running) {
        const auto same = std::ranges::find(neighbours, task.copied_from, &exposure::copied_from);
        if (same == neighbours.end())
            neighbours.push_back({task.copied_from, task.cores});
        else
            same->cores += task.cores;
    }
    for (const host_control::service_state& state : host.services) {
        if (state.signal.is_current(now))
            harms_.learn(state.service, state.rate.load(), state.signal.ratio(), neighbours);
    }
}

void stepwise_controller::begin_step(host_control& host, instant now) {
    host.last_step = now;
    for (host_control::service_state& service : host.services)
        service.signal.restart(now + settings_.step_interval);
}

void stepwise_controller::note_calm_broken(host_control& host, instant now) {
    host.calm_since.reset();
    const bool too_early =
        host.last_release != instant{} && now - host.last_release < regret_window;
    if (!too_early)
        return;
    // Load that shifts up and down would make it lift and throttle for ever; each lift that had to
    // be taken back makes it wait twice as long for the next.
    host.calm_needed = std::min(std::max(host.calm_needed, settings_.calm_before_release) * 2,
                                settings_.calm_before_release * max_calm_factor);
    host.last_release = {};
}

void stepwise_controller::sort_by_cost(tasks& running, const service_id& service) const {
    const auto cost = [&](const controlled_task& task) {
        return harms_.per_core(service, task.copied_from) * task.cores;
    };
    std::ranges::stable_sort(running, std::greater{}, cost);
}

} // namespace figwinch
