#pragma once

#include "tests/cell/cell_world.h"

#include <set>
#include <string>

namespace figwinch::sim {

/// Judges a history at its end, when the trouble has been over for long. Owned by a history.
class history_judge {
public:
    explicit history_judge(cell_world& world) : world_(world) {}

    /// What is wrong first, with its story: a rule that was broken on the way, or an accepted job
    /// that didn't come to its end. Empty: nothing is.
    std::string judge(const std::set<std::string>& accepted);

private:
    std::string judge_job(const std::string& id);
    bool has_turn(const std::string& task);
    bool has_room(const std::string& id);
    std::string tell(const std::string& id);
    template <class Check>
    bool all_tasks(const std::string& id, const Check& check);
    bool all_ended_well(const std::string& id);
    bool all_last(const std::string& id);

    cell_world& world_;
};

} // namespace figwinch::sim
