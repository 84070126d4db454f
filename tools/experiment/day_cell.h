#pragma once

#include "simulation/sim_host.h"
#include "simulation/sim_serving.h"
#include "tools/experiment/setup.h"

#include <memory>
#include <random>
#include <vector>

namespace figwinch::experiment {

/// The cell of one day in simulated time: log, workers and one host with the production
/// coordinator. Owned by `play_day`.
class day_cell {
public:
    day_cell(const setup& with, std::uint64_t seed, sim::sim_time& time, sim::worker_watch& watch);

    cell_member& member() { return host_->member(); }
    const sim::sim_fleet& fleet() const { return fleet_; }
    /// Losses and slow times of the log are counted from now on.
    void begin_day();

private:
    static std::string name_of(std::size_t worker) { return "w" + std::to_string(worker); }
    double draw_share() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void add_worker(std::size_t worker, sim::worker_watch& watch);
    void list(const std::string& worker, std::optional<std::string> state);
    void swing_loads();
    std::vector<std::size_t> lost_by(const worker_loss& loss);
    void lose(const worker_loss& loss);
    void take_back(const std::string& worker);

    const setup& with_;
    std::mt19937_64 random_;
    sim::sim_time& time_;
    sim::sim_store store_;
    sim::sim_fleet fleet_;
    /// The load of each worker's serving tasks.
    std::vector<sim_serving> serving_;
    std::unique_ptr<sim::sim_host> host_;
};

} // namespace figwinch::experiment
