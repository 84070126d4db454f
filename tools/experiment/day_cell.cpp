#include "tools/experiment/day_cell.h"

#include <algorithm>
#include <numeric>

namespace figwinch::experiment {
namespace {

// Workers' clocks are this much slow at most.
constexpr double slowest_rate = 0.98;
// The platform's list lags.
constexpr duration listing_lag = std::chrono::seconds(3);
constexpr duration swing_period = std::chrono::milliseconds(100);

cell_config make_config() {
    cell_config config;
    config.version = config_version(1);
    config.queues.push_back(
        {queue_name("q"), "h", "/q/", service_id("s"), 0, 3, 2, duration{}, std::nullopt});
    config.services.push_back({service_id("s"), false, false});
    return config;
}

} // namespace

day_cell::day_cell(const setup& with, std::uint64_t seed, sim::sim_time& time,
                   sim::worker_watch& watch)
    : with_(with), random_(seed), time_(time) {
    store_.append(cell_stream::operators, {{"config", "1", 0}}, {});
    for (std::size_t worker = 0; worker < static_cast<std::size_t>(with.load.workers); ++worker)
        add_worker(worker, watch);
    host_ = std::make_unique<sim::sim_host>(
        time_, store_, fleet_, [this] { return draw_share(); }, "host", with.settings,
        make_config());
    host_->way_to_log().delay = with.load.log_delay;
    swing_loads();
}

void day_cell::add_worker(std::size_t worker, sim::worker_watch& watch) {
    const std::string name = name_of(worker);
    const load_spec& load = with_.load;
    const auto data_centre = worker % static_cast<std::size_t>(load.data_centres);
    sim::sim_fleet::entry& entry = fleet_.workers[name];
    entry.listing.id = worker_id(name);
    entry.listing.service = service_id("s");
    entry.listing.capacity = {std::llround(load.cores_per_worker * 1000),
                              load.memory_mib_per_worker, 0};
    entry.listing.data_centre = data_centre_id("dc-" + std::to_string(data_centre));
    const double rate = slowest_rate + (1 - slowest_rate) * draw_share();
    entry.worker = std::make_unique<sim::sim_worker>(time_, watch, name, rate,
                                                     with_.settings.max_granted_lease);
    entry.worker->slowdown_per_core = load.slowdown_per_core;
    serving_.emplace_back(draw_share());
    list(name, "ready");
}

void day_cell::list(const std::string& worker, std::optional<std::string> state) {
    store_.append(cell_stream::workers, {{worker, std::move(state), 0}}, {});
}

void day_cell::swing_loads() {
    const double at_s = std::chrono::duration<double>(time_.now().time_since_epoch()).count();
    for (std::size_t worker = 0; worker < serving_.size(); ++worker)
        fleet_.workers.at(name_of(worker)).worker->serving_load = serving_[worker].load(at_s);
    time_.after(swing_period, [this] { swing_loads(); });
}

void day_cell::begin_day() {
    for (const worker_loss& loss : with_.load.losses)
        time_.after(loss.at, [this, &loss] { lose(loss); });
    for (const slow_log& slow : with_.load.slow_logs) {
        time_.after(slow.from, [this, &slow] { host_->way_to_log().delay = slow.delay; });
        time_.after(slow.to, [this] { host_->way_to_log().delay = with_.load.log_delay; });
    }
}

std::vector<std::size_t> day_cell::lost_by(const worker_loss& loss) {
    std::vector<std::size_t> lost(serving_.size());
    std::iota(lost.begin(), lost.end(), std::size_t{0});
    if (loss.data_centre < 0) {
        std::ranges::shuffle(lost, random_);
        lost.resize(static_cast<std::size_t>(loss.workers));
        return lost;
    }
    const auto data_centres = static_cast<std::size_t>(with_.load.data_centres);
    const auto gone = static_cast<std::size_t>(loss.data_centre);
    std::erase_if(lost, [&](std::size_t worker) { return worker % data_centres != gone; });
    return lost;
}

/// A worker that is lost says nothing; the list tells later.
void day_cell::lose(const worker_loss& loss) {
    for (const std::size_t worker : lost_by(loss)) {
        const std::string name = name_of(worker);
        sim::sim_fleet::entry& entry = fleet_.workers.at(name);
        if (entry.cut)
            continue;
        entry.cut = true;
        entry.worker->reborn();
        time_.after(listing_lag, [this, &entry, name] {
            if (entry.cut)
                list(name, std::nullopt);
        });
        if (loss.back_after > duration::zero())
            time_.after(loss.back_after, [this, name] { take_back(name); });
    }
}

void day_cell::take_back(const std::string& worker) {
    fleet_.workers.at(worker).cut = false;
    list(worker, "ready");
}

} // namespace figwinch::experiment
