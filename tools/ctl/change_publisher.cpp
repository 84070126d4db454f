#include "ctl/change_publisher.h"

#include "config/manifest_message.h"

#include <utility>

namespace figwinch {
namespace {

const stream_name config_stream("config");
constexpr duration retry_pause = std::chrono::milliseconds(500);

} // namespace

change_publisher::change_publisher(log_client& log, const clock& time,
                                   config_follower_settings settings, change_request request,
                                   id_source ids, duration limit, callback done)
    : log_(log), time_(time), request_(std::move(request)), ids_(std::move(ids)),
      done_(std::move(done)), follower_(log, time, std::move(settings), nullptr),
      deadline_(time.now() + limit) {
    follower_.on_outcome(
        [this](log_offset, const fold_outcome& outcome) { take_outcome(outcome); });
}

void change_publisher::tick(instant now) {
    if (is_done_)
        return;
    follower_.tick(now);
    if (judged_.has_value()) {
        const fold_outcome outcome = *std::exchange(judged_, std::nullopt);
        lose(outcome);
    } else if (now >= deadline_) {
        give_up();
    } else if (payload_.empty() && follower_.state() == recovery_state::following) {
        prepare();
    } else if (append_failed_at_.has_value()) {
        append_again(now);
    }
}

void change_publisher::take_outcome(const fold_outcome& outcome) {
    if (outcome.result == fold_result::accepted)
        accepted_[outcome.to] = {outcome.change, outcome.author, outcome.comment};
    if (outcome.change != record_ || record_.empty() || is_done_)
        return;
    if (outcome.result == fold_result::accepted)
        finish({.end = change_end::accepted, .version = outcome.to});
    else if (outcome.result == fold_result::refused)
        judged_ = outcome;
}

void change_publisher::prepare() {
    static const manifest nothing;
    const config_version version = follower_.version();
    if (request_.base.has_value() && *request_.base != version) {
        fold_outcome outcome;
        outcome.code = result_code::manifest_stale_base;
        outcome.from = version;
        const auto winner = accepted_.find(request_.base->next());
        if (winner != accepted_.end())
            outcome.winner = winner->second.record;
        outcome.reason = "made from version " + std::to_string(request_.base->value()) +
                         ", but the version in force is " + std::to_string(version.value());
        request_.attempts = 1;
        lose(outcome);
        return;
    }
    const std::shared_ptr<const manifest> current = follower_.current();
    const absl::StatusOr<manifest> wanted = request_.edit(current ? *current : nothing);
    if (!wanted.ok()) {
        finish({.end = change_end::refused,
                .code = code_of(wanted.status()),
                .reason = std::string(wanted.status().message())});
        return;
    }
    if (current != nullptr && *wanted == *current) {
        finish({.end = change_end::unchanged, .version = version});
        return;
    }
    record_ = ids_();
    payload_ = record_for(current ? *current : nothing, *wanted);
    append();
}

std::string change_publisher::record_for(const manifest& current, const manifest& wanted) const {
    pb::ConfigRecord record;
    record.set_record_id(record_.str());
    record.set_author(request_.author);
    record.set_comment(request_.comment);
    record.set_wall_ms(time_.wall_now().time_since_epoch().count());
    record.set_base_version(follower_.version().value());
    pb::ManifestChange change = change_between(current, wanted);
    pb::Manifest whole = to_message(wanted);
    if (change.ByteSizeLong() < whole.ByteSizeLong())
        *record.mutable_change() = std::move(change);
    else
        *record.mutable_replace() = std::move(whole);
    return record.SerializeAsString();
}

void change_publisher::append() {
    append_open_ = true;
    append_failed_at_.reset();
    log_.append(
        config_stream, payload_,
        [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_offset>& offset) {
            if (alive.expired())
                return;
            append_open_ = false;
            if (offset.ok())
                return;
            last_error_ = code_of(offset.status());
            append_failed_at_ = time_.now();
            if (last_error_ != result_code::log_unavailable)
                may_have_landed_ = true;
        });
}

// Guards against an append that took effect while its acknowledgement was lost: appended again at
// once, the change would stand in the log twice. It is appended again only when a read that was
// sent later shows the tail without it; should the first one still arrive, it folds to a duplicate.
void change_publisher::append_again(instant now) {
    const std::optional<duration> age = follower_.age(now);
    const bool was_read_since = age.has_value() && now - *age > *append_failed_at_;
    if (!append_open_ && was_read_since && now - *append_failed_at_ >= retry_pause)
        append();
}

void change_publisher::lose(const fold_outcome& outcome) {
    const bool may_retry =
        outcome.code == result_code::manifest_stale_base && request_.attempts > 1;
    if (may_retry) {
        --request_.attempts;
        record_ = record_id();
        payload_.clear();
        append_failed_at_.reset();
        may_have_landed_ = false;
        return;
    }
    change_result result{.end = change_end::refused,
                         .code = outcome.code,
                         .reason = outcome.reason,
                         .version = follower_.version(),
                         .winner = outcome.winner};
    for (const auto& [version, change] : accepted_) {
        if (change.record != outcome.winner)
            continue;
        result.winner_author = change.author;
        result.winner_comment = change.comment;
    }
    finish(std::move(result));
}

void change_publisher::give_up() {
    const bool is_unknown =
        may_have_landed_ || append_open_ || (!payload_.empty() && !append_failed_at_.has_value());
    if (is_unknown) {
        finish({.end = change_end::unknown,
                .code = result_code::log_silent,
                .reason = "the record was sent and could not be read back in time"});
        return;
    }
    const bool was_read = follower_.state() == recovery_state::following;
    const result_code code =
        last_error_ == result_code::ok ? result_code::state_not_recovered : last_error_;
    finish({.end = change_end::not_published,
            .code = code,
            .reason =
                was_read ? "the log took no record in time"
                         : "the configuration could not be read: missing is " + follower_.lacks()});
}

void change_publisher::finish(change_result result) {
    is_done_ = true;
    result.record = record_;
    result.bytes = payload_.size();
    done_(result);
}

} // namespace figwinch
