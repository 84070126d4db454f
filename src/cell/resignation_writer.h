#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/record_codec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// Writes the resignation of a coordinator to the log: appends it at the end of the election
/// stream, and retries until the log has stored it, another host has claimed, or the process ends.
/// Driven by `tick` and the log's answers. Owned by the leader election.
class resignation_writer {
public:
    /// The log shows the holder as coordinator up to offset `end`. Sends the first attempt at once.
    resignation_writer(const clock& time, durable_log& log, const election_record& resignation,
                       std::uint64_t end);

    void tick();
    /// Stops retrying, because the process ends.
    void abandon();

private:
    void send();
    void read_newer_records();
    void handle_read(const read_result& read);
    void drop_account();
    void settle_stored();
    void settle_unconfirmed(std::string_view why);

    const clock& time_;
    durable_log& log_;
    election_record resignation_;
    /// The offset up to which the stream has been read; up to here `holder` is coordinator.
    std::uint64_t end_offset_;
    instant started_at_;
    instant next_attempt_at_{};
    std::int64_t attempts_ = 0;
    bool settled_ = false;
    /// Expires with this object. Callbacks hold a weak reference and ignore answers that come
    /// later.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
