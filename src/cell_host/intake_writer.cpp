#include "cell_host/intake_writer.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration retry_period = std::chrono::milliseconds(100);
// An append that is unanswered for this long is looked up in the stream. After twice this time its
// callers are told that the outcome is unknown, if the log answers no other call either.
constexpr duration late_after = std::chrono::milliseconds(500);

/// Counts the entries whose callers still wait and whose records may be stored already.
std::uint64_t count_doubtful(const intake_entries& entries) {
    return static_cast<std::uint64_t>(std::ranges::count_if(
        entries, [](const auto& entry) { return entry.doubtful && !entry.has_ended(); }));
}

} // namespace

intake_writer::intake_writer(parts with)
    : with_(std::move(with)), pace_(with_.time),
      lane_(with_.time, [this](intake_entries entries, const handover_result& result) {
          take_handed(std::move(entries), result);
      }) {}

void intake_writer::write(std::vector<stored_record> records, instant deadline, handler done) {
    waiting_.push({std::move(records), deadline, std::move(done)});
    send_what_waits();
}

void intake_writer::write_for_other(std::vector<stored_record> records, instant deadline,
                                    handler done) {
    intake_entry entry{std::move(records), deadline, std::move(done)};
    entry.own = true;
    handed_here_ = with_.time.now();
    waiting_.push(std::move(entry));
    send_what_waits();
}

void intake_writer::tick() {
    end_overdue();
    end_overdue_on_way(lane_.entries());
    if (in_flight_)
        watch_append();
    else if (!waiting_.empty() && (is_silent() || (full_ && !with_.log_answers())))
        give_up_append();
    if (pace_.is_slow())
        refuse_hopeless();
    send_what_waits();
}

void intake_writer::end_by(instant latest) {
    for (intake_entries* const entries : {&waiting_.entries(), &batch_, &lane_.entries()})
        for (intake_entry& held : *entries)
            held.deadline = std::min(held.deadline, latest);
}

bool intake_writer::is_silent() const {
    return unanswered_since_ && with_.time.now() - *unanswered_since_ >= 2 * late_after &&
           !with_.log_answers();
}

void intake_writer::end_overdue() {
    intake_entries keep;
    for (intake_entry& waiting : waiting_.take_all()) {
        if (waiting.has_ended())
            continue;
        if (with_.time.now() < waiting.deadline)
            keep.push_back(std::move(waiting));
        else
            refuse(waiting);
    }
    waiting_.put_back(std::move(keep));
}

void intake_writer::end_overdue_on_way(intake_entries& entries) {
    for (intake_entry& sent : entries)
        if (with_.time.now() >= sent.deadline)
            end_in_doubt(sent);
}

void intake_writer::end_in_doubt(intake_entry& entry) {
    if (entry.has_ended())
        return;
    ++counts_.left_in_doubt;
    entry.end(intake_outcome::unknown);
}

void intake_writer::settle_by(intake_entries& entries, const stored_record& record) {
    for (intake_entry& entry : entries) {
        if (!entry.is_in(record))
            continue;
        entry.seen = true;
        if (entry.has_ended())
            continue;
        if (entry.doubtful || with_.time.now() - sent_at_ >= late_after)
            ++counts_.settled_by_read;
        entry.end(intake_outcome::stored, record.offset);
    }
}

void intake_writer::note_read(const stored_record& record) {
    settle_by(batch_, record);
    settle_by(waiting_.entries(), record);
    settle_by(lane_.entries(), record);
}

/// The reply to a read carries more data than the reply to an append, so only half of the time
/// counts as the latency of an append.
void intake_writer::note_late_read(duration waited) {
    pace_.note_waiting(waited / 2);
}

void intake_writer::send_what_waits() {
    if (hands_over() && !lane_.is_busy()) {
        intake_entries handed = waiting_.take([now = with_.time.now()](const intake_entry& entry) {
            return !entry.own && now < entry.deadline;
        });
        counts_.handed += handed.size();
        if (!handed.empty())
            lane_.hand(std::move(handed));
    }
    if (in_flight_ || with_.time.now() < next_send_)
        return;
    batch_ = waiting_.take([this](const intake_entry& entry) { return may_append(entry); });
    if (!batch_.empty())
        send();
}

bool intake_writer::may_append(const intake_entry& entry) const {
    return with_.time.now() >= entry.append_from && (entry.own || !hands_over());
}

void intake_writer::send() {
    in_flight_ = true;
    ++counts_.appends;
    counts_.records += batch_.size();
    sent_at_ = with_.time.now();
    if (!unanswered_since_)
        unanswered_since_ = sent_at_;
    next_look_ = sent_at_ + late_after;
    with_.log.append(
        cell_stream::intake, records_of(batch_), {},
        [this, round = ++round_, weak = std::weak_ptr(alive_)](const append_result& result) {
            if (!weak.expired() && round == round_ && in_flight_)
                take(result);
        });
}

/// Checks on the append in flight. It stays in flight after its callers' deadlines, so that its
/// records are applied if the log stores them later.
void intake_writer::watch_append() {
    const instant now = with_.time.now();
    pace_.note_waiting(now - sent_at_);
    end_overdue_on_way(batch_);
    if (is_silent())
        return give_up_append();
    if (now >= next_look_)
        look_for_append();
}

/// Looks for the records of a late append in the stream: if only the log's answer was lost, nothing
/// has to be appended twice.
void intake_writer::look_for_append() {
    next_look_ = with_.time.now() + late_after;
    std::vector<std::string> keys;
    for (const intake_entry& entry : batch_)
        for (const stored_record& record : entry.records)
            keys.push_back(record.key);
    with_.look_for(keys, [this, round = round_, weak = std::weak_ptr(alive_)] {
        if (weak.expired() || round != round_ || !in_flight_)
            return;
        if (std::ranges::all_of(batch_, &intake_entry::seen))
            return abandon_append();
        if (hands_over() && std::ranges::none_of(batch_, &intake_entry::own))
            hand_late_over();
    });
}

/// Hands a late append over to the shared writer, in case the original request never reached the
/// log. The writer's single append for many hosts hardly lengthens the log's queue.
void intake_writer::hand_late_over() {
    intake_entries late = std::exchange(batch_, {});
    for (intake_entry& entry : late) {
        entry.doubtful = true;
        entry.append_from = sent_at_ + with_.log.longest_queue();
    }
    abandon_append();
    waiting_.put_back(std::move(late));
}

/// Fails the append in flight and all waiting entries, because the log answers no call. Their
/// callers can retry at another host.
void intake_writer::give_up_append() {
    for (intake_entry& sent : std::exchange(batch_, {}))
        end_in_doubt(sent);
    refuse_all(waiting_.take_all());
    abandon_append();
}

void intake_writer::abandon_append() {
    in_flight_ = false;
    batch_.clear();
    unanswered_since_.reset();
    next_send_ = with_.time.now() + retry_period;
}

void intake_writer::take(const append_result& result) {
    in_flight_ = false;
    if (result.fault != log_fault::silent)
        unanswered_since_.reset();
    if (result.fault == log_fault::unavailable)
        return take_refusal();
    if (result.fault != log_fault::none)
        return take_silence();
    full_ = false;
    pace_.note(with_.time.now() - sent_at_);
    counts_.settled_by_repeat += count_doubtful(batch_);
    commit(std::exchange(batch_, {}), result.offset);
}

/// Handles an append that timed out. Its records are sent once more, because a retry is a cheap way
/// to recover a lost answer. If the log is slow, the retry waits until the first append can't be in
/// the log's queue any more, since a second one would only lengthen it. If the retry times out too,
/// callers are told that the outcome is unknown.
void intake_writer::take_silence() {
    const duration queue = pace_.is_slow() ? with_.log.longest_queue() : duration::zero();
    intake_entries again;
    for (intake_entry& sent : std::exchange(batch_, {})) {
        if (std::exchange(sent.doubtful, true))
            end_in_doubt(sent);
        else if (!sent.has_ended())
            again.push_back(std::move(sent));
    }
    for (intake_entry& sent : again)
        sent.append_from = sent_at_ + queue;
    next_send_ = with_.time.now();
    waiting_.put_back(std::move(again));
}

/// Handles an append that the log rejected. If the log answers other calls, its queue is full, and
/// entries that can be handed over or can wait for as long as the longest queue are retried. The
/// others fail now, so that their callers can go to another host. For entries of which an earlier
/// append timed out the outcome stays unknown, because that append may still be stored.
void intake_writer::take_refusal() {
    next_send_ = with_.time.now() + retry_period;
    intake_entries refused = std::exchange(batch_, {});
    full_ = with_.log_answers();
    if (!full_)
        return refuse_all(std::move(refused));
    pace_.note_full();
    intake_entries again;
    for (intake_entry& entry : refused) {
        const bool can_wait = entry.deadline - with_.time.now() > with_.log.longest_queue();
        if (can_wait || (hands_over() && !entry.own))
            again.push_back(std::move(entry));
        else
            refuse(entry);
    }
    waiting_.put_back(std::move(again));
}

void intake_writer::refuse(intake_entry& entry) {
    if (entry.doubtful)
        return end_in_doubt(entry);
    entry.end(intake_outcome::not_stored);
}

void intake_writer::refuse_all(intake_entries entries) {
    for (intake_entry& entry : entries)
        refuse(entry);
}

/// Handles the outcome of a handover. Entries are handed over only once: if the shared writer
/// didn't take them, or its answer was lost, this host appends them itself.
void intake_writer::take_handed(intake_entries entries, const handover_result& result) {
    switch (result.outcome) {
    case handover_result::kind::stored:
        pace_.note(result.append);
        counts_.settled_by_writer += count_doubtful(entries);
        return commit(std::move(entries), result.offset);
    case handover_result::kind::not_stored:
        return refuse_all(std::move(entries));
    case handover_result::kind::unknown:
        for (intake_entry& entry : entries)
            entry.doubtful = true;
        break;
    case handover_result::kind::not_taken:
        break;
    }
    for (intake_entry& entry : entries)
        entry.own = true;
    waiting_.put_back(std::move(entries));
    send_what_waits();
}

void intake_writer::commit(intake_entries stored, std::uint64_t offset) {
    for (intake_entry& entry : stored) {
        for (stored_record& record : entry.records) {
            record.offset = offset++;
            with_.applied(record);
        }
    }
    for (intake_entry& entry : stored)
        entry.end(intake_outcome::stored, entry.records.front().offset);
    send_what_waits();
}

} // namespace figwinch
