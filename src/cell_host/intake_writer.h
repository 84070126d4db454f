#pragma once

#include "cell_host/append_latency_monitor.h"
#include "cell_host/handover_sender.h"
#include "cell_host/intake_entry.h"
#include "cell_host/intake_queue.h"
#include "figwinch/cell.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace figwinch {

/// Counters of appends and their outcomes, for metrics.
struct intake_counts {
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    /// Callers whose unanswered append was found in the stream, was confirmed by a retry, or was
    /// confirmed by the cell's shared writer.
    std::uint64_t settled_by_read = 0;
    std::uint64_t settled_by_retry = 0;
    std::uint64_t settled_by_writer = 0;
    /// Callers whose records were handed over to the cell's shared writer.
    std::uint64_t handed_over = 0;
    /// Callers who were told that the outcome is unknown.
    std::uint64_t left_in_doubt = 0;
    /// Callers whose records the log doesn't take.
    std::uint64_t rejected = 0;
};

/// Appends jobs and cancellations to the intake stream in batches, one append at a time. An append
/// that is late is looked up in the stream, and retried only once it can no longer be in the log's
/// queue. While the log is slow, records are handed over to the cell's shared writer, which appends
/// those of all hosts together. While the log doesn't respond at all, callers' requests fail at
/// once. An append is limited in records and bytes so that it passes a narrow link in time. Records
/// that the log doesn't take are rejected at once; an append that the log rejects all the same is
/// split, so that it fails only the records at fault. Owned by the host's daemon.
class intake_writer {
public:
    using handler = std::function<void(intake_outcome, std::uint64_t offset)>;

    /// Dependencies of the writer; `time` and `log` must outlive it.
    struct dependencies {
        const clock& time;
        durable_log& log;
        record_limits limits;
        /// Called with each record that the log has stored, before the record's caller is told.
        std::function<void(const stored_record&)> applied;
        /// Whether the log has answered any call of this host recently.
        std::function<bool()> log_answers;
        /// Looks up records with these keys in the log, passes those that it finds to
        /// `on_record_read`, then calls back.
        std::function<void(const std::vector<std::string>& keys, std::function<void()>)> look_up;
    };

    explicit intake_writer(dependencies deps);

    /// Appends one caller's records. Calls back once: as soon as the outcome is known or can't be
    /// determined, and at `deadline` at the latest.
    void write(std::vector<stored_record> records, instant deadline, handler done);
    /// Like `write`, for records that another host handed over; they are never handed on.
    void write_for_other(std::vector<stored_record> records, instant deadline, handler done);
    /// Sets the shared writer that gets records while the log is slow; null for none. It must
    /// outlive this object.
    void set_shared_writer(shared_writer* writer) { handover_sender_.set_writer(writer); }
    void tick();
    /// Lowers all later deadlines to `latest`.
    void cap_deadlines(instant latest);
    /// Handles a record that was read from the stream.
    void on_record_read(const stored_record& record);
    /// Reports that a read of the log has been in flight for `waited`. This shows a slow log to a
    /// host without recent appends before its own appends add to the log's queue.
    void report_late_read(duration waited);
    /// Estimated time until a record written now is stored, by this host's measurements; zero while
    /// the log isn't slow.
    duration expected_wait() const;
    const record_limits& limits() const { return deps_.limits; }
    std::size_t waiting() const {
        return waiting_.size() + batch_.size() + handover_sender_.size();
    }
    const append_latency_monitor& append_latency() const { return append_latency_; }
    const intake_counts& counts() const { return counts_; }

private:
    void add(intake_entry entry);
    void send_waiting();
    bool uses_shared_writer() const {
        return append_latency_.is_slow() && handover_sender_.is_available();
    }
    bool may_append(const intake_entry& entry) const;
    void handle_handover_result(intake_entries entries, const handover_result& result);
    void send();
    void handle_append_result(const append_result& result);
    void handle_append_timeout();
    void handle_unavailable_log();
    void split_rejected_batch();
    bool is_rejected_for_size(const intake_entry& entry) const;
    bool is_log_unresponsive() const;
    void check_append();
    void look_up_append();
    void hand_over_late_append();
    void fail_all();
    void abandon_append();
    void expire_waiting();
    void reject_unmeetable();
    duration estimated_wait(std::size_t ahead) const;
    bool writes_for_others() const;
    void expire_sent(intake_entries& entries);
    void complete_as_unknown(intake_entry& entry);
    void complete_as_rejected(intake_entry& entry);
    void refuse(intake_entry& entry);
    void refuse_all(intake_entries entries);
    void complete_stored(intake_entries& entries, const stored_record& record);
    void commit(intake_entries stored, std::uint64_t offset);

    dependencies deps_;
    append_latency_monitor append_latency_;
    handover_sender handover_sender_;
    intake_counts counts_;
    intake_queue waiting_;
    intake_entries batch_;
    bool in_flight_ = false;
    /// The log rejected the last append but answers other calls: its queue is full.
    bool log_queue_full_ = false;
    /// Number of the append in flight; replies to earlier ones are ignored.
    std::uint64_t append_number_ = 0;
    instant sent_at_{};
    /// Send time of the first of the appends that have gone unanswered since the last answer.
    std::optional<instant> unanswered_since_;
    instant next_lookup_{};
    /// When another host last handed records over to this one.
    std::optional<instant> last_handover_at_;
    instant next_send_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
