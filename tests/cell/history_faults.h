#pragma once

#include "tests/cell/cell_world.h"

#include <optional>
#include <string>

namespace figwinch::sim {

/// Injects the faults of a history. Each kind of fault is a member function that causes it and
/// schedules its end. Owned by a history.
class history_faults {
public:
    explicit history_faults(cell_world& world) : world_(world) {}

    /// Schedules the given number of random faults at random times within the fault phase.
    void schedule_faults(std::size_t faults, duration fault_phase, bool restart_faults);
    /// Schedules random faults of hosts that relay orders.
    void schedule_relay_faults(std::size_t faults, duration fault_phase);
    /// Schedules changes of workers' capacities at random times within the fault phase.
    void schedule_capacity_changes(std::size_t changes, duration fault_phase);
    /// Schedules times during which the coordinator's processor is slower.
    void schedule_slow_coordinators(std::size_t times, duration fault_phase);
    /// Schedules restarts of workers that are cut off soon after, some beside late orders.
    void schedule_restarts_and_cuts(std::size_t times, duration fault_phase);
    /// Schedules moments at which the log discards the election's records.
    void schedule_lost_history(std::size_t times, duration fault_phase);
    /// Ends at once all faults of hosts, store and orders.
    void end_all();

private:
    struct fault_kind {
        const char* name;
        void (history_faults::*inject)();
    };

    std::size_t draw_host() { return world_.draw() % world_.hosts(); }
    std::optional<std::string> draw_worker();
    duration draw_duration();
    void schedule_fault(const fault_kind& kind, duration fault_phase);
    std::size_t draw_other_host();

    void kill(std::size_t host);
    void set_log(std::size_t host, sim_log::way way);
    void set_lost_append_answers(double share);
    void disconnect_worker_for(const std::string& worker, duration span, bool crash);
    void fail_service_run();

    void kill_coordinator();
    void kill_all();
    void freeze_host();
    void cut_from_store();
    void cut_from_workers();
    void lose_store();
    void lose_append_answers();
    void delay_orders();
    void crash_worker();
    void cut_worker();
    void withdraw_worker();
    void resign_coordinator();
    void partition_coordinator();
    void restart_with_unreachable_worker();
    void shrink_worker();
    void slow_coordinator();
    void restart_and_cut_worker();
    void kill_relay();
    void freeze_relay();
    void cut_relay_from_peers();
    void cut_relay_from_workers();
    void resign_relay();

    cell_world& world_;
};

} // namespace figwinch::sim
