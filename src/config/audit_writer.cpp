#include "figwinch/config/audit_writer.h"

#include "config.pb.h"
#include "figwinch/log/log_truncation.h"

#include <algorithm>

namespace figwinch {
namespace {

const stream_name audit_stream("audit");

/// Derived from the change, so that every process writes the same record.
std::string audit_id(log_offset offset, const fold_outcome& outcome) {
    if (outcome.change.empty())
        return "audit-offset-" + std::to_string(offset.value());
    return "audit-" + outcome.change.str();
}

std::string audit_payload(const std::string& id, const fold_outcome& outcome) {
    pb::AuditRecord record;
    record.set_record_id(id);
    record.set_change_record_id(outcome.change.str());
    record.set_author(outcome.author);
    record.set_comment(outcome.comment);
    record.set_wall_ms(outcome.written_at.time_since_epoch().count());
    record.set_from_version(outcome.from.value());
    record.set_to_version(outcome.to.value());
    record.set_code(number(outcome.code));
    record.set_reason(outcome.reason);
    record.set_winner_record_id(outcome.winner.str());
    return record.SerializeAsString();
}

} // namespace

audit_writer::audit_writer(log_client& log, const clock& time, audit_writer_settings settings)
    : log_(log), time_(time), settings_(std::move(settings)) {}

void audit_writer::note(log_offset offset, const fold_outcome& outcome) {
    if (outcome.result != fold_result::accepted && outcome.result != fold_result::refused)
        return;
    if (pending_.size() >= settings_.max_pending) {
        ++dropped_;
        return;
    }
    const std::string id = audit_id(offset, outcome);
    pending_.try_emplace(
        id, pending_record{audit_payload(id, outcome), time_.now() + share_of_spread(id)});
}

duration audit_writer::share_of_spread(const std::string& id) const {
    constexpr std::uint64_t steps = 1 << 16;
    const std::uint64_t share = rendezvous_weight(settings_.self.str(), id) % steps;
    return settings_.spread * static_cast<std::int64_t>(share) / static_cast<std::int64_t>(steps);
}

void audit_writer::tick(instant now) {
    if (call_open_ && now - call_sent_ < 2 * settings_.timeout + longest_log_answer)
        return;
    call_open_ = false;
    const auto is_due = [now](const auto& entry) { return entry.second.due <= now; };
    if (std::ranges::none_of(pending_, is_due)) {
        at_tail_ = false;
        return;
    }
    // Others may have written it, or this process itself when its acknowledgement was lost.
    if (at_tail_)
        append_due(now);
    else
        read(now);
}

void audit_writer::read(instant now) {
    call_open_ = true;
    call_sent_ = now;
    const std::uint64_t mine = ++call_number_;
    log_.read(
        audit_stream, next_, settings_.page_records,
        [this, mine, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_page>& page) {
            if (alive.expired() || mine != call_number_)
                return;
            call_open_ = false;
            take_page(page);
        });
}

void audit_writer::take_page(const absl::StatusOr<log_page>& page) {
    if (!page.ok()) {
        if (code_of(page.status()) == result_code::log_truncated)
            next_ = first_kept_of(page.status());
        return;
    }
    for (const log_record& record : page->records) {
        pb::AuditRecord parsed;
        if (parsed.ParseFromString(record.payload))
            pending_.erase(parsed.record_id());
        next_ = std::max(next_, record.offset.next());
    }
    at_tail_ = next_ >= page->next;
}

void audit_writer::append_due(instant now) {
    const auto due = std::ranges::find_if(
        pending_, [now](const auto& entry) { return entry.second.due <= now; });
    if (due == pending_.end())
        return;
    call_open_ = true;
    call_sent_ = now;
    at_tail_ = false;
    due->second.due = now + settings_.spread / 4;
    const std::uint64_t mine = ++call_number_;
    log_.append(audit_stream, due->second.payload,
                [this, mine, id = due->first,
                 alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_offset>& offset) {
                    if (alive.expired())
                        return;
                    if (mine == call_number_)
                        call_open_ = false;
                    if (!offset.ok())
                        return;
                    ++appended_;
                    pending_.erase(id);
                });
}

} // namespace figwinch
