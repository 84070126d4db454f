#pragma once

#include "figwinch/base.h"
#include "figwinch/log/host_list_client.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Which back ends may get new work, from the platform's lagging list and from what the back ends
/// themselves say. Pure. Owned by whoever sends work to them.
class host_observations {
public:
    /// An own observation that is older than this gives way to the list.
    explicit host_observations(duration remembered = std::chrono::minutes(1));

    /// Replaces what the list says. `asked_at` is when it was asked for.
    void note_list(const std::vector<host_entry>& hosts, instant asked_at);
    /// The host itself said (in an answer or its health) that it is leaving, or that it is live.
    void note_answer(const std::string& name, bool is_leaving, instant now);

    /// Whether the host must not get new work at `now`. Hosts that nobody named are not leaving.
    bool is_leaving(const std::string& name, instant now) const;
    /// Drops observations that have grown old.
    void advance(instant now);

private:
    struct observation {
        bool is_leaving = false;
        instant at{};
    };

    duration remembered_;
    std::map<std::string, bool> listed_leaving_;
    std::map<std::string, observation> own_;
};

} // namespace figwinch
