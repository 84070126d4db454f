#pragma once

#include "figwinch/membership/member.h"
#include "figwinch/membership/membership_limits.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// What this process has seen of figwinch's other processes. Pure: times come from the caller.
/// Owned by the peer service.
class member_table {
public:
    member_table(node_id self, membership_limits limits);

    /// Takes a heartbeat that came from `from` itself. `from.state` counts only as leaving or not.
    /// Returns whether anything changed that rules decide by.
    bool hear(const member& from, instant now);
    /// Takes another member's word that `about` exists. It is a suspect until it is heard itself,
    /// and dropped when that does not happen in time.
    bool learn(const member& about, instant now);
    /// Lets time pass; call at least every `own_pause`. Returns whether anything changed.
    bool advance(instant now);

    /// In order of node.
    std::vector<member> members() const;
    /// Members heard directly that appeared, restarted or began to leave since `since`.
    std::vector<member> changed_since(instant since) const;
    /// Null when unknown.
    const member* find(const node_id& node) const;

private:
    struct row {
        member seen;
        bool was_heard = false;
        bool is_leaving = false;
        instant changed_at{};
        /// Incarnations that came before, newest last; bounded.
        std::vector<incarnation_id> superseded;
    };

    bool restart(row& entry, const member& from);
    bool update_state(row& entry, instant now) const;
    void skip_own_pause(instant now);

    node_id self_;
    membership_limits limits_;
    std::map<node_id, row> rows_;
    instant advanced_at_{};
};

} // namespace figwinch
