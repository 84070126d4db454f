#pragma once

#include "cell_host/shared_writer.h"
#include "figwinch/net.h"

#include <memory>
#include <optional>
#include <string>

namespace figwinch {

/// The cell's writer, asked over the bus. While it has records it is asked now and then whether it
/// is there: a slow log holds its answer, but not that. One that isn't there isn't asked again for
/// a while. Driven by `tick`. Owned by `cell_host`.
class bus_writer final : public shared_writer {
public:
    /// `where`: the writer's bus address; nothing when it isn't known or is this host.
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
    /// Who didn't answer, and until when it isn't asked.
    std::string absent_;
    instant absent_until_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
