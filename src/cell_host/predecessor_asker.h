#pragma once

#include "figwinch/cell.h"
#include "figwinch/link.h"

#include <functional>
#include <memory>

namespace figwinch {

/// Asks the holder of the reign before for its end and for what it leaves behind, until it answers
/// or can't act any more. A holder that the log doesn't reach learns of its successor in this way.
/// Driven by `tick`. Owned by `cell_member` during one reign.
class predecessor_asker {
public:
    /// `peers` outlives it; `take` is called at most once, from a reply.
    predecessor_asker(const clock& time, peer_client& peers, const reign_view& predecessor,
                      lease_epoch epoch, instant acts_until,
                      std::function<void(const outstanding_orders&)> take);

    void tick();
    bool is_answered() const { return answered_; }

private:
    void take_reply(const std::optional<std::string>& bytes);

    const clock& time_;
    peer_client& peers_;
    std::string where_;
    std::string message_;
    instant acts_until_;
    std::function<void(const outstanding_orders&)> take_;
    bool answered_ = false;
    bool in_flight_ = false;
    instant next_ask_{};
    /// Expires with this object: replies that come later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
