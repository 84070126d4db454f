#include "membership/member_log.h"

#include "figwinch/observe.h"

#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace figwinch {
namespace {

constexpr std::array state_names = {"live", "leaving", "suspect", "dead"};

void write(const member& one, instant now) {
    const auto silent =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - one.last_heard).count();
    log_event(log_level::info, "member_changed",
              {{"member", one.node.str()},
               {"incarnation", one.incarnation.str()},
               {"state", state_names.at(static_cast<std::size_t>(one.state))},
               {"silent_ms", std::int64_t{silent}}});
}

} // namespace

void member_log::note(std::span<const member> members, instant now) {
    std::map<node_id, noted> seen;
    for (const member& one : members) {
        const noted current{one.incarnation, one.state};
        const auto before = noted_.find(one.node);
        if (before == noted_.end() || before->second != current)
            write(one, now);
        seen.emplace(one.node, current);
    }
    noted_ = std::move(seen);
}

} // namespace figwinch
