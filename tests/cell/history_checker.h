#pragma once

#include "tests/cell/cell_world.h"

#include <set>
#include <string>

namespace figwinch::sim {

/// Checks a history at its end, long after the last fault. Owned by a history.
class history_checker {
public:
    explicit history_checker(cell_world& world) : world_(world) {}

    /// Returns the first violation with a description: an invariant that was violated during the
    /// history, or an accepted job that has not ended. Empty if there is none.
    std::string find_violation(const std::set<std::string>& accepted);

private:
    std::string check_job_outcome(const std::string& id);
    bool is_ready(const std::string& task);
    bool has_room(const std::string& id);
    std::string describe(const std::string& id);
    template <class Check>
    bool all_tasks(const std::string& id, const Check& check);
    bool all_succeeded(const std::string& id);
    bool all_service_tasks_run(const std::string& id);

    cell_world& world_;
};

} // namespace figwinch::sim
