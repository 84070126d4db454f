#pragma once

#include "cell_host/shared_writer.h"
#include "figwinch/net.h"

#include <memory>
#include <optional>
#include <string>

namespace figwinch {

/// Hands records over to the cell's shared writer over the bus. While a handover is in flight, the
/// writer is probed periodically: a slow log delays the reply to a handover, but not the reply to a
/// probe. A writer that fails a probe isn't used until a backoff has passed. Driven by `tick`.
/// Owned by `cell_host`.
class bus_shared_writer final : public shared_writer {
public:
    /// `find_writer`: returns the shared writer's bus address; nullopt if it is unknown or this
    /// host.
    bus_shared_writer(const clock& time, bus& peers,
                      std::function<std::optional<std::string>()> find_writer);

    bool is_available() const override;
    void hand_over(const std::vector<stored_record>& records, duration timeout,
                   handler done) override;
    void tick();

private:
    void handle_reply(std::uint64_t round, const absl::StatusOr<std::string>& reply);
    void probe();
    void on_probe_failure(std::uint64_t round);
    void complete(const handover_result& result);

    const clock& time_;
    bus& peers_;
    std::function<std::optional<std::string>()> find_writer_;
    handler done_;
    std::string target_;
    std::uint64_t handover_number_ = 0;
    instant next_probe_{};
    /// Address of the writer that last failed a probe, and the end of its backoff.
    std::string unresponsive_;
    instant backoff_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
