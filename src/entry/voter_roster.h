#pragma once

#include "figwinch/log.h"
#include "figwinch/membership.h"
#include "figwinch/routing.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace figwinch {

/// Decides when this entry may vouch for claims, by the `entries` stream of the log, where each
/// incarnation says once that it has begun. Owned by the daemon, which calls `tick` once a second.
///
/// The failure: a restarted entry has forgotten its grants, and one that votes at once lets a
/// second entry run a ticket. Waiting for the window avoids it, but would refuse every ticket for
/// the first minute of a new region. The guard: an entry votes at once only when the stream, whole,
/// shows no earlier incarnation of its node and no more nodes than the region has; then nothing
/// that it granted can have been forgotten. Nobody votes before it is in the stream or knows that
/// the roster is complete, so that the stream misses no voter that matters.
class voter_roster {
public:
    voter_roster(log_client& log, dispatch_guard& guard, const member& self, std::size_t voters);

    /// Appends, reads or waits, whichever comes next.
    void tick();
    /// A peer says that the roster is complete.
    void note_complete();
    bool is_complete() const { return complete_; }
    bool is_settled() const { return settled_; }

private:
    void append();
    void read();
    void take_page(const log_page& page);
    void fold(const log_record& record);
    void settle();

    log_client& log_;
    dispatch_guard& guard_;
    member self_;
    std::size_t voters_;
    bool busy_ = false;
    bool appended_ = false;
    bool settled_ = false;
    bool complete_ = false;
    /// Whether the stream was read from its very beginning.
    bool whole_ = true;
    log_offset next_{1};
    std::set<std::string> nodes_;
    bool own_seen_ = false;
    bool own_node_before_ = false;
    std::size_t nodes_when_joined_ = 0;
    /// Lets late callbacks see that the roster is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
