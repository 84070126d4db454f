#pragma once

#include "figwinch/base.h"
#include "jobs.pb.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// How an append ended.
enum class append_outcome { acknowledged, unavailable, silent };

/// Collects events for the jobs stream and writes them as one record at a time, so that a scheduler
/// costs one append per flush period. Owned by `scheduler_core`.
///
/// Guards against an acknowledgement that is lost: the same bytes with the same record number are
/// appended again until the record is read back, and the fold skips a number that it has seen.
class batch_writer {
public:
    batch_writer(incarnation_id self, data_centre_id centre, duration flush_every,
                 duration retry_after);

    void add(pb::JobEvent event);
    /// The record to append now, if any.
    std::optional<std::string> due(instant now);
    void on_outcome(append_outcome outcome, instant now);
    /// The newest record number of this writer that was folded.
    void on_folded(std::uint64_t number);
    /// Takes back events that have not left this process; returns how many.
    std::size_t withdraw(const std::function<bool(const pb::JobEvent&)>& matches);
    /// Nothing waits and nothing is in flight.
    bool is_idle() const { return waiting_.empty() && payload_.empty(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    void build();

    incarnation_id self_;
    data_centre_id centre_;
    duration flush_every_;
    duration retry_after_;
    std::vector<pb::JobEvent> waiting_;
    /// The record that is being written; empty when none is.
    std::string payload_;
    std::vector<pb::JobEvent> written_;
    std::uint64_t number_ = 0;
    bool asked_ = false;
    bool maybe_appended_ = false;
    instant next_{};
};

} // namespace figwinch
