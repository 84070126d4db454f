#include "cell_host/intake_writer.h"

#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration retry_period = std::chrono::milliseconds(100);
// An append that is unanswered for this long is looked up in the stream. After twice this time its
// callers are told that the outcome is unknown, if the log answers no other call either.
constexpr duration late_append_threshold = std::chrono::milliseconds(500);

// Every log takes records of this size.
constexpr std::size_t always_storable_bytes = 4096;
// An append that was stored within this time shows that the log takes records.
constexpr duration recent_append_age = std::chrono::seconds(5);

/// Counts the entries whose callers still wait and whose records may be stored already.
std::uint64_t count_maybe_stored(const intake_entries& entries) {
    return static_cast<std::uint64_t>(std::ranges::count_if(
        entries, [](const auto& entry) { return entry.may_be_stored && !entry.is_complete(); }));
}

} // namespace

intake_writer::intake_writer(dependencies deps)
    : deps_(std::move(deps)), append_latency_(deps_.time),
      handover_sender_(deps_.time, [this](intake_entries entries, const handover_result& result) {
          handle_handover_result(std::move(entries), result);
      }) {}

void intake_writer::write(std::vector<stored_record> records, instant deadline, handler done) {
    add({std::move(records), deadline, std::move(done)});
}

void intake_writer::write_for_other(std::vector<stored_record> records, instant deadline,
                                    handler done) {
    intake_entry entry{std::move(records), deadline, std::move(done)};
    entry.append_locally = true;
    last_handover_at_ = deps_.time.now();
    add(std::move(entry));
}

/// Queues an entry. One that the log doesn't take fails at once: the log would refuse it for ever,
/// and everything in the same append with it.
void intake_writer::add(intake_entry entry) {
    const auto is_refused = [this](const auto& record) { return !deps_.limits.allow(record); };
    const auto refused = std::ranges::find_if(entry.records, is_refused);
    if (refused != entry.records.end()) {
        log_refused_record(*refused);
        return complete_as_rejected(entry);
    }
    waiting_.push(std::move(entry));
    send_waiting();
}

void intake_writer::tick() {
    expire_waiting();
    expire_sent(handover_sender_.entries());
    if (in_flight_)
        check_append();
    else if (!waiting_.empty() &&
             (is_log_unresponsive() || (log_queue_full_ && !deps_.log_answers())))
        fail_all();
    if (append_latency_.is_slow())
        reject_unmeetable();
    send_waiting();
}

void intake_writer::cap_deadlines(instant latest) {
    for (intake_entries* const entries :
         {&waiting_.entries(), &batch_, &handover_sender_.entries()})
        for (intake_entry& held : *entries)
            held.deadline = std::min(held.deadline, latest);
}

bool intake_writer::is_log_unresponsive() const {
    return unanswered_since_ &&
           deps_.time.now() - *unanswered_since_ >= 2 * late_append_threshold &&
           !deps_.log_answers();
}

void intake_writer::expire_waiting() {
    intake_entries keep;
    for (intake_entry& waiting : waiting_.take_all()) {
        if (waiting.is_complete())
            continue;
        if (deps_.time.now() < waiting.deadline)
            keep.push_back(std::move(waiting));
        else
            refuse(waiting);
    }
    waiting_.put_back(std::move(keep));
}

void intake_writer::expire_sent(intake_entries& entries) {
    for (intake_entry& sent : entries)
        if (deps_.time.now() >= sent.deadline)
            complete_as_unknown(sent);
}

void intake_writer::complete_as_unknown(intake_entry& entry) {
    if (entry.is_complete())
        return;
    ++counts_.left_in_doubt;
    entry.complete(intake_outcome::unknown);
}

void intake_writer::complete_stored(intake_entries& entries, const stored_record& record) {
    for (intake_entry& entry : entries) {
        if (!entry.matches(record))
            continue;
        entry.found_in_stream = true;
        if (entry.is_complete())
            continue;
        if (entry.may_be_stored || deps_.time.now() - sent_at_ >= late_append_threshold)
            ++counts_.settled_by_read;
        entry.complete(intake_outcome::stored, record.offset);
    }
}

void intake_writer::on_record_read(const stored_record& record) {
    complete_stored(batch_, record);
    complete_stored(waiting_.entries(), record);
    complete_stored(handover_sender_.entries(), record);
}

/// The reply to a read carries more data than the reply to an append, so only half of the time
/// counts as the latency of an append.
void intake_writer::report_late_read(duration waited) {
    append_latency_.on_pending(waited / 2);
}

void intake_writer::send_waiting() {
    if (uses_shared_writer() && !handover_sender_.is_busy()) {
        intake_entries handed = waiting_.take([now = deps_.time.now()](const intake_entry& entry) {
            return !entry.append_locally && now < entry.deadline;
        });
        counts_.handed_over += handed.size();
        if (!handed.empty())
            handover_sender_.hand_over(std::move(handed));
    }
    if (in_flight_ || deps_.time.now() < next_send_)
        return;
    batch_ = waiting_.take([this](const intake_entry& entry) { return may_append(entry); });
    if (!batch_.empty())
        send();
}

bool intake_writer::may_append(const intake_entry& entry) const {
    return deps_.time.now() >= entry.append_not_before &&
           (entry.append_locally || !uses_shared_writer());
}

void intake_writer::send() {
    in_flight_ = true;
    ++counts_.appends;
    counts_.records += batch_.size();
    sent_at_ = deps_.time.now();
    if (!unanswered_since_)
        unanswered_since_ = sent_at_;
    next_lookup_ = sent_at_ + late_append_threshold;
    deps_.log.append(cell_stream::intake, records_of(batch_), {},
                     [this, round = ++append_number_,
                      weak = std::weak_ptr(alive_)](const append_result& result) {
                         if (!weak.expired() && round == append_number_ && in_flight_)
                             handle_append_result(result);
                     });
}

/// Checks on the append in flight. It stays in flight after its callers' deadlines, so that its
/// records are applied if the log stores them later.
void intake_writer::check_append() {
    const instant now = deps_.time.now();
    append_latency_.on_pending(now - sent_at_);
    expire_sent(batch_);
    if (is_log_unresponsive())
        return fail_all();
    if (now >= next_lookup_)
        look_up_append();
}

/// Looks for the records of a late append in the stream: if only the log's answer was lost, nothing
/// has to be appended twice.
void intake_writer::look_up_append() {
    next_lookup_ = deps_.time.now() + late_append_threshold;
    std::vector<std::string> keys;
    for (const intake_entry& entry : batch_)
        for (const stored_record& record : entry.records)
            keys.push_back(record.key);
    deps_.look_up(keys, [this, round = append_number_, weak = std::weak_ptr(alive_)] {
        if (weak.expired() || round != append_number_ || !in_flight_)
            return;
        if (std::ranges::all_of(batch_, &intake_entry::found_in_stream))
            return abandon_append();
        if (uses_shared_writer() && std::ranges::none_of(batch_, &intake_entry::append_locally))
            hand_over_late_append();
    });
}

/// Hands a late append over to the shared writer, in case the original request never reached the
/// log. The writer's single append for many hosts hardly lengthens the log's queue.
void intake_writer::hand_over_late_append() {
    intake_entries late = std::exchange(batch_, {});
    for (intake_entry& entry : late) {
        entry.may_be_stored = true;
        entry.append_not_before = sent_at_ + deps_.log.max_append_wait();
    }
    abandon_append();
    waiting_.put_back(std::move(late));
}

/// Fails the append in flight and all waiting entries, because the log answers no call. Their
/// callers can retry at another host.
void intake_writer::fail_all() {
    for (intake_entry& sent : std::exchange(batch_, {}))
        complete_as_unknown(sent);
    refuse_all(waiting_.take_all());
    abandon_append();
}

void intake_writer::abandon_append() {
    in_flight_ = false;
    batch_.clear();
    unanswered_since_.reset();
    next_send_ = deps_.time.now() + retry_period;
}

void intake_writer::handle_append_result(const append_result& result) {
    in_flight_ = false;
    if (result.fault != log_fault::silent)
        unanswered_since_.reset();
    if (result.fault == log_fault::unavailable)
        return handle_unavailable_log();
    if (result.fault == log_fault::rejected)
        return split_rejected_batch();
    if (result.fault != log_fault::none)
        return handle_append_timeout();
    log_queue_full_ = false;
    append_latency_.on_answered(deps_.time.now() - sent_at_);
    counts_.settled_by_retry += count_maybe_stored(batch_);
    commit(std::exchange(batch_, {}), result.offset);
}

/// Handles an append that timed out. Its records are sent once more, because a retry is a cheap way
/// to recover a lost answer. If the log is slow, the retry waits until the first append can't be in
/// the log's queue any more, since a second one would only lengthen it. If the retry times out too,
/// callers are told that the outcome is unknown.
void intake_writer::handle_append_timeout() {
    const duration queue =
        append_latency_.is_slow() ? deps_.log.max_append_wait() : duration::zero();
    intake_entries again;
    for (intake_entry& sent : std::exchange(batch_, {})) {
        if (std::exchange(sent.may_be_stored, true))
            complete_as_unknown(sent);
        else if (!sent.is_complete())
            again.push_back(std::move(sent));
    }
    for (intake_entry& sent : again)
        sent.append_not_before = sent_at_ + queue;
    next_send_ = deps_.time.now();
    waiting_.put_back(std::move(again));
}

/// Handles an append while the log is unavailable. If the log answers other calls, its queue is
/// full, and entries that can be handed over or can wait for as long as the longest queue are
/// retried. The others fail now, so that their callers can go to another host. For entries of which
/// an earlier append timed out the outcome stays unknown, because that append may still be stored.
void intake_writer::handle_unavailable_log() {
    next_send_ = deps_.time.now() + retry_period;
    intake_entries refused = std::exchange(batch_, {});
    log_queue_full_ = deps_.log_answers();
    if (!log_queue_full_)
        return refuse_all(std::move(refused));
    append_latency_.on_queue_full();
    intake_entries again;
    for (intake_entry& entry : refused) {
        const bool can_wait = entry.deadline - deps_.time.now() > deps_.log.max_append_wait();
        if (can_wait || (uses_shared_writer() && !entry.append_locally))
            again.push_back(std::move(entry));
        else
            refuse(entry);
    }
    waiting_.put_back(std::move(again));
}

/// Handles an append that the log will never take. Its entries are sent again in halves, so that
/// the one at fault ends up alone and the others are stored.
void intake_writer::split_rejected_batch() {
    next_send_ = deps_.time.now();
    intake_entries batch = std::exchange(batch_, {});
    log_event(log_level::warn, "append_rejected",
              {{"entries", static_cast<std::int64_t>(batch.size())},
               {"key", batch.front().records.front().key}});
    if (batch.size() == 1) {
        if (is_rejected_for_size(batch.front()))
            complete_as_rejected(batch.front());
        else
            refuse(batch.front());
        return send_waiting();
    }
    const std::size_t half = (batch.size() + 1) / 2;
    for (intake_entry& entry : batch)
        entry.max_batch_entries = half;
    waiting_.put_back(std::move(batch));
    send_waiting();
}

/// Returns whether the log takes other records. If it rejects all of them, the fault isn't the
/// caller's, who may try again later.
bool intake_writer::is_rejected_for_size(const intake_entry& entry) const {
    return entry.bytes() > always_storable_bytes ||
           append_latency_.measured_within(recent_append_age);
}

void intake_writer::complete_as_rejected(intake_entry& entry) {
    if (entry.is_complete())
        return;
    if (entry.may_be_stored)
        return complete_as_unknown(entry);
    ++counts_.rejected;
    entry.complete(intake_outcome::rejected);
}

void intake_writer::refuse(intake_entry& entry) {
    if (entry.may_be_stored)
        return complete_as_unknown(entry);
    entry.complete(intake_outcome::not_stored);
}

void intake_writer::refuse_all(intake_entries entries) {
    for (intake_entry& entry : entries)
        refuse(entry);
}

/// Handles the outcome of a handover. Entries are handed over only once: if the shared writer
/// didn't take them, the log rejected one of them, or the writer's answer was lost, this host
/// appends them itself.
void intake_writer::handle_handover_result(intake_entries entries, const handover_result& result) {
    switch (result.outcome) {
    case handover_result::kind::stored:
        append_latency_.on_answered(result.writer_latency);
        counts_.settled_by_writer += count_maybe_stored(entries);
        return commit(std::move(entries), result.offset);
    case handover_result::kind::not_stored:
        return refuse_all(std::move(entries));
    case handover_result::kind::unknown:
        for (intake_entry& entry : entries)
            entry.may_be_stored = true;
        break;
    case handover_result::kind::not_taken:
    case handover_result::kind::rejected:
        break;
    }
    for (intake_entry& entry : entries)
        entry.append_locally = true;
    waiting_.put_back(std::move(entries));
    send_waiting();
}

void intake_writer::commit(intake_entries stored, std::uint64_t offset) {
    for (intake_entry& entry : stored) {
        for (stored_record& record : entry.records) {
            record.offset = offset++;
            deps_.applied(record);
        }
    }
    for (intake_entry& entry : stored)
        entry.complete(intake_outcome::stored, entry.records.front().offset);
    send_waiting();
}

} // namespace figwinch
