#pragma once

#include "figwinch/base.h"
#include "figwinch/config/fold_outcome.h"
#include "figwinch/log/log_client.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace figwinch {

/// How the `audit` stream is written.
struct audit_writer_settings {
    /// Spreads the processes.
    node_id self;
    /// Each process waits for its own share of this before it writes, so that mostly one writes.
    duration spread = std::chrono::seconds(30);
    duration timeout = std::chrono::seconds(1);
    std::size_t page_records = 256;
    /// Outcomes that wait; beyond it the oldest record is left to other processes.
    std::size_t max_pending = 4096;
};

/// Sees to it that the outcome of every change stands in the `audit` stream. Every process derives
/// the same record from the fold; whoever's turn comes first appends it, and the others find it
/// there by its id. Two that write at once leave two records of one id, which readers count as one.
/// Owned by the daemon.
class audit_writer {
public:
    audit_writer(log_client& log, const clock& time, audit_writer_settings settings);

    /// Takes the outcome of one record of the `config` stream.
    void note(log_offset offset, const fold_outcome& outcome);
    /// Call at least every second.
    void tick(instant now);

    std::size_t pending() const { return pending_.size(); }
    std::uint64_t appended() const { return appended_; }
    std::uint64_t dropped() const { return dropped_; }

private:
    struct pending_record {
        std::string payload;
        instant due{};
    };

    void read(instant now);
    void take_page(const absl::StatusOr<log_page>& page);
    void append_due(instant now);
    duration share_of_spread(const std::string& id) const;

    log_client& log_;
    const clock& time_;
    audit_writer_settings settings_;
    std::unordered_map<std::string, pending_record> pending_;
    /// The next record of the audit stream to look at.
    log_offset next_{1};
    /// Whether the stream was read to its end since the last append.
    bool at_tail_ = false;
    bool call_open_ = false;
    std::uint64_t call_number_ = 0;
    instant call_sent_{};
    std::uint64_t appended_ = 0;
    std::uint64_t dropped_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
