#pragma once

#include "figwinch/cell.h"
#include "figwinch/link.h"

#include <functional>
#include <memory>

namespace figwinch {

/// Asks the predecessor to step down and to report its outstanding orders, and retries until the
/// predecessor answers or can no longer act. This is how a predecessor that is cut off from the log
/// learns of its successor. Driven by `tick`. Owned by `cell_member` during one leadership term.
class predecessor_asker {
public:
    /// `peers` must outlive this object. `on_answer` is called at most once, with the predecessor's
    /// answer.
    predecessor_asker(const clock& time, peer_client& peers, const leader_info& predecessor,
                      lease_epoch epoch, instant acts_until,
                      std::function<void(const outstanding_orders&)> on_answer);

    void tick();
    bool is_answered() const { return answered_; }

private:
    void handle_reply(const std::optional<std::string>& bytes);

    const clock& time_;
    peer_client& peers_;
    std::string address_;
    std::string message_;
    instant acts_until_;
    std::function<void(const outstanding_orders&)> on_answer_;
    bool answered_ = false;
    bool in_flight_ = false;
    instant next_ask_{};
    /// Expires with this object, so that later replies are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
