#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/record_limits.h"

#include <deque>
#include <functional>
#include <memory>

namespace figwinch {

/// The coordinator's only writer to the progress stream. Collects records and appends them in
/// batches, one batch at a time. Each batch carries the epoch and a sequence number: a batch that
/// is sent twice takes effect once, and batches of a superseded coordinator are refused. All later
/// records wait for the batch in flight, so a batch that gets no answer for several times the usual
/// latency is sent again without pending for the first append to time out. A batch that the log
/// rejects is split until the record at fault is alone, which is then dropped. Owned by the
/// coordinator's host for one leadership term.
class progress_writer {
public:
    /// `applied` is called with each record, in order, once the log has stored it. `on_superseded`
    /// is called when the log has seen a higher epoch.
    progress_writer(const clock& time, durable_log& log, lease_epoch epoch,
                    const record_limits& limits, std::function<void(const stored_record&)> applied,
                    std::function<void()> on_superseded);

    /// Fences earlier epochs. Calls `done` with the end offset of the stream once no earlier epoch
    /// can append any more.
    void fence(std::function<void(std::uint64_t end)> done);
    /// Queues the newest value of a key. Calls `committed` once this record and all earlier ones
    /// are stored, and never if the log rejects this one. Returns false, and queues nothing, if
    /// the value is empty, which the log would take for a removal, or larger than the log takes.
    bool put(std::string key, std::string value, std::function<void()> committed = nullptr);
    /// Queues the removal of a key.
    void remove(std::string key);
    /// Handles a record that the log rejects although it comes alone. Returns whether the record is
    /// to be dropped; if not, it is sent again. The handler may queue others in place of a dropped
    /// record: barriers behind it then wait for these.
    using rejection_handler = std::function<bool(const stored_record&)>;
    /// Without a handler, rejected records are dropped.
    void on_rejected(rejection_handler handler) { on_rejected_ = std::move(handler); }
    /// Calls `committed` once all records queued so far are stored or dropped; immediately if none
    /// is pending.
    void barrier(std::function<void()> committed);
    /// Sends or resends a batch when it is due.
    void tick();

    bool is_idle() const { return queued_.empty() && !has_append_in_flight(); }
    /// The number of records that the log hasn't confirmed yet.
    std::size_t unconfirmed() const { return queued_.size() + batch_.size(); }

private:
    struct queued_record {
        stored_record record;
        std::function<void()> committed;
        std::vector<std::function<void()>> barriers;
    };

    bool has_append_in_flight() const { return appends_in_flight_ > 0; }
    void queue(stored_record record, std::function<void()> committed);
    bool may_resend() const;
    void fill_batch();
    void send();
    void append_batch();
    void on_append_result(const append_result& result);
    void commit(std::uint64_t offset);
    void split_rejected_batch();
    void handle_rejected_record();
    void handle_superseded();

    const clock& time_;
    durable_log& log_;
    lease_epoch epoch_;
    record_limits limits_;
    std::function<void(const stored_record&)> applied_;
    std::function<void()> on_superseded_;
    rejection_handler on_rejected_;
    std::deque<queued_record> queued_;
    std::vector<queued_record> batch_;
    std::function<void(std::uint64_t)> fence_done_;
    /// Appends of the current batch that have not been answered yet.
    std::size_t appends_in_flight_ = 0;
    bool stopped_ = false;
    std::uint64_t sequence_ = 0;
    /// Number of the current batch. Answers to appends of earlier ones, which were stored or split,
    /// are ignored.
    std::uint64_t batch_number_ = 0;
    instant next_send_at_{};
    instant next_resend_at_{};
    /// How long the last answered append took.
    duration last_append_duration_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
