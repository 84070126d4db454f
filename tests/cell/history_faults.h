#pragma once

#include "tests/cell/cell_world.h"

#include <string>

namespace figwinch::sim {

/// Injects the faults of a history. Each kind of fault is a member function that causes it and
/// schedules its end. Owned by a history.
class history_faults {
public:
    explicit history_faults(cell_world& world) : world_(world) {}

    /// Schedules the given number of random faults at random times within the fault phase.
    void plan(std::size_t faults, duration trouble_time, bool beside_dark);
    /// Schedules random faults of hosts that relay orders.
    void plan_links(std::size_t faults, duration trouble_time);
    /// Ends at once all faults of hosts, store and orders.
    void calm();

private:
    struct fault_kind {
        const char* name;
        void (history_faults::*play)();
    };

    std::size_t draw_host() { return world_.draw() % world_.hosts(); }
    std::string draw_worker() {
        return "w" + std::to_string(world_.draw() % world_.fleet().workers.size());
    }
    duration draw_span();
    void play_later(const fault_kind& kind, duration trouble_time);
    std::size_t draw_other_host();

    void kill(std::size_t host);
    void set_log(std::size_t host, sim_log::way way);
    void set_lost_appends(double share);
    void cut_for(const std::string& worker, duration span, bool crash);
    void fail_lasting_run();

    void kill_coordinator();
    void kill_all();
    void freeze_host();
    void cut_from_store();
    void cut_from_fleet();
    void lose_store();
    void lose_appends();
    void late_orders();
    void crash_worker();
    void cut_worker();
    void take_worker();
    void resign_coordinator();
    void part_coordinator();
    void restart_beside_dark();
    void kill_link();
    void freeze_link();
    void cut_link_from_peers();
    void cut_link_from_fleet();
    void resign_link();

    cell_world& world_;
};

} // namespace figwinch::sim
