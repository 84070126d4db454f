#include "ctl/config_recovery.h"

#include "config/manifest_message.h"

namespace figwinch {
namespace {

const stream_name config_stream("config");
const stream_name audit_stream("audit");

} // namespace

config_recovery::config_recovery(log_client& log, const clock& time,
                                 config_follower_settings settings, recovery_request request,
                                 duration limit, callback done)
    : log_(log), time_(time), request_(std::move(request)), done_(std::move(done)),
      follower_(log, time, std::move(settings), nullptr), deadline_(time.now() + limit) {}

void config_recovery::tick(instant now) {
    if (is_done_)
        return;
    follower_.tick(now);
    const bool can_be_read = follower_.state() == recovery_state::following;
    if (can_be_read && !was_sent_) {
        finish(change_end::refused, result_code::manifest_stale_base,
               "the configuration can be read; publish instead");
    } else if (can_be_read) {
        const bool is_ours = *follower_.current() == request_.wanted;
        if (is_ours)
            write_audit();
        else
            finish(change_end::refused, result_code::manifest_stale_base,
                   "another recovery came first");
    } else if (now >= deadline_) {
        finish(was_sent_ ? change_end::unknown : change_end::not_published, result_code::log_silent,
               "missing is " + follower_.lacks());
    } else if (follower_.state() == recovery_state::waiting_for_state && !was_sent_) {
        append();
    }
}

std::string config_recovery::snapshot_record() const {
    pb::ConfigRecord record;
    record.set_record_id(request_.record.str());
    record.set_author(request_.author);
    record.set_comment(request_.comment);
    record.set_wall_ms(time_.wall_now().time_since_epoch().count());
    record.set_base_version(request_.base.value());
    pb::ConfigSnapshot& state = *record.mutable_snapshot();
    state.set_version(request_.base.next().value());
    state.set_through_offset(follower_.next_read().value() - 1);
    *state.mutable_manifest() = to_message(request_.wanted);
    return record.SerializeAsString();
}

std::string config_recovery::audit_record() const {
    pb::AuditRecord record;
    record.set_record_id("audit-" + request_.record.str());
    record.set_change_record_id(request_.record.str());
    record.set_author(request_.author);
    record.set_comment(request_.comment);
    record.set_wall_ms(time_.wall_now().time_since_epoch().count());
    record.set_from_version(request_.base.value());
    record.set_to_version(request_.base.next().value());
    record.set_reason("recovered");
    return record.SerializeAsString();
}

// Two recoveries at once are no danger: a reader takes the first usable snapshot that it finds, and
// the second is usable only as long as the record of the first is kept.
void config_recovery::append() {
    was_sent_ = true;
    log_.append(
        config_stream, snapshot_record(),
        [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_offset>& offset) {
            const bool was_refused =
                !offset.ok() && code_of(offset.status()) == result_code::log_unavailable;
            if (!alive.expired() && was_refused)
                was_sent_ = false;
        });
}

void config_recovery::write_audit() {
    is_done_ = true;
    log_.append(
        audit_stream, audit_record(),
        [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_offset>& offset) {
            if (!alive.expired())
                finish(change_end::accepted, result_code::ok,
                       offset.ok() ? "" : "the audit record was not acknowledged");
        });
}

void config_recovery::finish(change_end end, result_code code, std::string reason) {
    is_done_ = true;
    change_result result;
    result.end = end;
    result.code = code;
    result.reason = std::move(reason);
    result.version = follower_.version();
    result.record = request_.record;
    done_(result);
}

} // namespace figwinch
