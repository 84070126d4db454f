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
class bus_writer final : public shared_writer {
public:
    /// `where`: returns the shared writer's bus address; nullopt if it is unknown or this host.
    bus_writer(const clock& time, bus& peers, std::function<std::optional<std::string>()> where);

    bool is_open() const override;
    void hand(const std::vector<stored_record>& records, duration patience, handler done) override;
    void tick();

private:
    void take(std::uint64_t round, const absl::StatusOr<std::string>& reply);
    void probe();
    void give_up(std::uint64_t round);
    void end(const handover_result& result);

    const clock& time_;
    bus& peers_;
    std::function<std::optional<std::string>()> where_;
    handler done_;
    std::string asked_;
    std::uint64_t round_ = 0;
    instant next_probe_{};
    /// Address of the writer that last failed a probe, and the end of its backoff.
    std::string absent_;
    instant absent_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
