#pragma once

#include "tests/cell/cell_world.h"

#include <map>
#include <set>
#include <string>

namespace figwinch::sim {

/// Holds lasting tasks against one rule: a task whose job is accepted and not cancelled, that has
/// room, and whose own last worker isn't in doubt, runs again within `longest_down` of the end of
/// its last run, its acceptance or the last trouble that touches it, whichever came last. That some
/// other worker is away touches no task. Broken rules go to the world's watch. Owned by a test.
class lasting_rule {
public:
    explicit lasting_rule(cell_world& world);

    /// A lasting job was handed in; it counts from when its caller is told that it is stored.
    void follow(const std::string& job, std::shared_ptr<std::optional<intake_outcome>> told);
    /// A caller has asked to cancel it, whether that was stored or not.
    void leave(const std::string& job) { cancelled_.insert(job); }

    static constexpr duration longest_down = std::chrono::seconds(6);

private:
    struct standing {
        /// From when on the time without a run counts; none while it runs or is excused.
        std::optional<instant> down_since;
        /// Where its last order to start went.
        std::string last_worker;
        /// A task that doesn't last got room that it could have had.
        bool passed_over = false;
    };

    void look();
    bool is_followed(const std::string& job) const;
    void look_at(const std::string& task, bool trouble, std::optional<std::size_t> acting);
    std::string recorded_worker(const std::string& task);
    bool trouble_for_all(std::optional<std::size_t> acting);
    bool any_host_able();
    bool reaches(std::optional<std::size_t> acting, const std::string& worker);
    bool has_room(const std::string& task, std::optional<std::size_t> acting);
    bool fits_on(const std::string& worker, const std::string& task) const;

    cell_world& world_;
    std::map<std::string, std::shared_ptr<std::optional<intake_outcome>>> told_;
    std::set<std::string> cancelled_;
    std::map<std::string, standing> standings_;
};

} // namespace figwinch::sim
