#include "tools/experiment/setting_tables.h"

#include <array>

namespace figwinch::experiment {

std::span<const setting_key<cell_settings>> cell_keys() {
    using keys = cell_settings;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"evacuate_ms", &keys::evacuation_notice, 1000, 600'000, "ms"},
        {"leave_ms", &keys::leave_notice, 1000, 600'000, "ms"},
        {"max_hold_ms", &keys::max_granted_lease, 1000, 600'000, "ms"},
        {"shrink_ms", &keys::shrink_notice, 2000, 600'000, "ms"},
        {"status_s", &keys::status_retention, 1, 86'400, "s"},
    });
    return table;
}

std::span<const setting_key<load_spec>> load_keys() {
    using keys = load_spec;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"arrivals_factor", &keys::arrivals_factor, 0.01, 100, "times"},
        {"cores_per_worker", &keys::cores_per_worker, 0.1, 1024, "cores"},
        {"data_centres", &keys::data_centres, 1, 100, "data centres"},
        {"day_s", &keys::day, 1, 86'400, "s"},
        {"failing", &keys::failing, 0, 1, "of the runs"},
        {"log_delay_ms", &keys::log_delay, 1, 5000, "ms"},
        {"memory_mib_per_worker", &keys::memory_mib_per_worker, 1, 16'777'216, "MiB"},
        {"settle_s", &keys::settle, 0, 3600, "s"},
        {"slowdown_per_core", &keys::slowdown_per_core, 0, 10, "(a logarithm)"},
        {"workers", &keys::workers, 1, 20'000, "workers"},
    });
    return table;
}

std::span<const setting_key<class_load>> class_keys() {
    using keys = class_load;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"arrivals_per_s", &keys::arrivals_per_s, 0, 1000, "jobs a second"},
        {"burst_every_s", &keys::burst_every, 0, 86'400, "s"},
        {"burst_jobs", &keys::burst_jobs, 0, 10'000, "jobs"},
        {"jobs_at_start", &keys::jobs_at_start, 0, 10'000, "jobs"},
        {"stretch", &keys::stretch, 0, 1000, "times"},
        {"tail_target_ms", &keys::tail_target, 0, 60'000, "ms"},
        {"target_s", &keys::target, 0, 86'400, "s"},
    });
    return table;
}

std::span<const setting_key<step_load>> step_keys() {
    using keys = step_load;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"cores", &keys::cores, 0.001, 1024, "cores"},
        {"guess_factor", &keys::guess_factor, 0.01, 100, "times"},
        {"guess_spread", &keys::guess_spread, 0, 3, "(a logarithm)"},
        {"memory_mib", &keys::memory_mib, 1, 16'777'216, "MiB"},
        {"seconds", &keys::length, 0.05, 86'400, "s"},
        {"spread", &keys::spread, 0, 3, "(a logarithm)"},
        {"tasks", &keys::tasks, 1, 10'000, "tasks"},
    });
    return table;
}

std::span<const setting_key<worker_loss>> loss_keys() {
    using keys = worker_loss;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"at_s", &keys::at, 0, 86'400, "s"},
        {"back_after_s", &keys::back_after, 0, 86'400, "s"},
        {"data_centre", &keys::data_centre, 0, 99, "(counted from 0)"},
        {"workers", &keys::workers, 1, 20'000, "workers"},
    });
    return table;
}

std::span<const setting_key<slow_log>> slow_log_keys() {
    using keys = slow_log;
    static constexpr auto table = std::to_array<setting_key<keys>>({
        {"delay_ms", &keys::delay, 1, 5000, "ms"},
        {"from_s", &keys::from, 0, 86'400, "s"},
        {"to_s", &keys::to, 0, 86'400, "s"},
    });
    return table;
}

} // namespace figwinch::experiment
