#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/record_codec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// Gets the resignation of a host that holds the reign into the log: appends it at the end of the
/// stream, and again, until the log has it, another host has claimed, or the process ends. `tick`
/// and the log's answers drive it. Owned by `reign`.
class resignation {
public:
    /// The stream has `holder` as the holder of the reign at `end`. Begins at once.
    resignation(const clock& time, durable_log& log, const incarnation_id& holder,
                const std::string& bus_address, std::uint64_t end);

    void tick();
    /// The process ends: nothing more is tried.
    void abandon();

private:
    void send();
    void look();
    void take(const read_result& read);
    void settle_stored();
    void settle_unconfirmed(std::string_view why);

    const clock& time_;
    durable_log& log_;
    incarnation_id holder_;
    std::string bytes_;
    /// Up to here the stream has been read, and the reign is still the holder's.
    std::uint64_t end_;
    instant begun_;
    instant next_try_{};
    std::int64_t tries_ = 0;
    bool settled_ = false;
    /// Expires with this object: answers that come later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
