#pragma once

#include "cell_host/append_pace.h"
#include "cell_host/handover_lane.h"
#include "cell_host/intake_entry.h"
#include "cell_host/intake_queue.h"
#include "figwinch/cell.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace figwinch {

/// What became of appends, for metrics.
struct intake_counts {
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    /// Callers whose late append was found in the stream, was answered when sent again or by the
    /// cell's writer, and those that were told of doubt.
    std::uint64_t settled_by_read = 0;
    std::uint64_t settled_by_repeat = 0;
    std::uint64_t settled_by_writer = 0;
    /// Callers whose records were handed to the cell's writer.
    std::uint64_t handed = 0;
    std::uint64_t left_in_doubt = 0;
};

/// Appends jobs and cancellations to the intake stream, gathered in batches, one append at a time.
/// An append that is late is looked for in the stream, and sent again only once it can't wait in
/// the log's queue any more; while appends queue in the log, records are handed to the cell's
/// writer, which appends those of all hosts together. When the log is silent altogether, callers
/// are told at once. An append is bounded in records and bytes, so that it passes a narrow link in
/// time. Owned by the host's daemon.
class intake_writer {
public:
    using handler = std::function<void(intake_outcome, std::uint64_t offset)>;

    /// What it works with; `time` and `log` outlive it.
    struct parts {
        const clock& time;
        durable_log& log;
        /// Gets each record once the log has it, before its caller is told.
        std::function<void(const stored_record&)> applied;
        /// Whether the log has answered anything to this host lately.
        std::function<bool()> log_answers;
        /// Looks in the log for what the records of these keys became, and has told `note_read` of
        /// those that it found when it calls back.
        std::function<void(const std::vector<std::string>& keys, std::function<void()>)> look_for;
    };

    explicit intake_writer(parts with);

    /// Calls back once, at `deadline` at the latest and as soon as the outcome is settled or can't
    /// be.
    void write(std::vector<stored_record> records, instant deadline, handler done);
    /// The same for a host that handed them over: they aren't handed on.
    void write_for_other(std::vector<stored_record> records, instant deadline, handler done);
    /// Who takes records over while the log is slow; outlives this. Null: nobody.
    void hand_to(shared_writer* writer) { lane_.use(writer); }
    void tick();
    /// Moves later deadlines to `latest`.
    void end_by(instant latest);
    /// A record that was read from the stream.
    void note_read(const stored_record& record);
    /// A read of the log has been on its way for `waited`: a host that hasn't appended lately
    /// learns of a slow log by it, before it adds to the log's queue.
    void note_late_read(duration waited);
    /// How long a record that comes now will take to be stored, by what this host measures. Nothing
    /// while the log isn't slow.
    duration expected_wait() const;
    std::size_t waiting() const { return waiting_.size() + batch_.size() + lane_.size(); }
    const append_pace& pace() const { return pace_; }
    const intake_counts& counts() const { return counts_; }

private:
    void send_what_waits();
    bool hands_over() const { return pace_.is_slow() && lane_.is_open(); }
    bool may_append(const intake_entry& entry) const;
    void take_handed(intake_entries entries, const handover_result& result);
    void send();
    void take(const append_result& result);
    void take_silence();
    void take_refusal();
    bool is_silent() const;
    void watch_append();
    void look_for_append();
    void hand_late_over();
    void give_up_append();
    void abandon_append();
    void end_overdue();
    void refuse_hopeless();
    duration wait_of(std::size_t ahead) const;
    bool writes_for_others() const;
    void end_overdue_on_way(intake_entries& entries);
    void end_in_doubt(intake_entry& entry);
    void refuse(intake_entry& entry);
    void refuse_all(intake_entries entries);
    void settle_by(intake_entries& entries, const stored_record& record);
    void commit(intake_entries stored, std::uint64_t offset);

    parts with_;
    append_pace pace_;
    handover_lane lane_;
    intake_counts counts_;
    intake_queue waiting_;
    intake_entries batch_;
    bool in_flight_ = false;
    /// The log refused the newest append although it answers.
    bool full_ = false;
    /// Of the append on its way; answers to earlier ones are dropped.
    std::uint64_t round_ = 0;
    instant sent_at_{};
    /// When the first append was sent that the log hasn't answered, nor any after it.
    std::optional<instant> unanswered_since_;
    instant next_look_{};
    /// When another host last handed records over.
    std::optional<instant> handed_here_;
    instant next_send_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
