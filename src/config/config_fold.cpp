#include "figwinch/config/config_fold.h"

#include "config/manifest_message.h"

#include <algorithm>

namespace figwinch {
namespace {

/// An older duplicate of an accepted change is refused for its base, since versions only grow; the
/// memory only tells it from a lost race.
constexpr std::size_t max_recent = 1024;
constexpr std::size_t max_text = 512;

/// Parses within protobuf's int lengths; false for anything that is not the message.
template <class Message>
bool parse(std::string_view bytes, Message& message) {
    constexpr std::size_t max_bytes = 64UL << 20;
    return bytes.size() <= max_bytes &&
           message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void refuse(fold_outcome& outcome, result_code code, std::string reason) {
    outcome.result = fold_result::refused;
    outcome.code = code;
    outcome.reason = std::move(reason);
}

void refuse(fold_outcome& outcome, const fault_list& faults) {
    std::string reason = to_string(faults.front()).substr(0, max_text);
    if (faults.size() > 1)
        reason += " (and " + std::to_string(faults.size() - 1) + " more)";
    refuse(outcome, faults.front().code, std::move(reason));
}

bool has_valid_id(const pb::ConfigRecord& record) {
    return !record.record_id().empty() && record.record_id().size() <= max_text;
}

} // namespace

fold_outcome config_fold::fold(log_offset offset, std::string_view bytes) {
    fold_outcome outcome;
    outcome.from = version_;
    if (offset != offset_.next())
        return outcome;
    offset_ = offset;
    pb::ConfigRecord record;
    if (!parse(bytes, record) || !has_valid_id(record)) {
        refuse(outcome, result_code::manifest_malformed, "not a record of the config stream");
        return outcome;
    }
    outcome.change = record_id(record.record_id());
    outcome.author = record.author().substr(0, max_text);
    outcome.comment = record.comment().substr(0, max_text);
    outcome.written_at = wall_time(std::chrono::milliseconds(record.wall_ms()));
    if (record.has_snapshot())
        outcome.result = fold_result::snapshot;
    else
        judge(record, outcome);
    return outcome;
}

void config_fold::judge(const pb::ConfigRecord& record, fold_outcome& outcome) {
    // A change whose acknowledgement was lost may be appended again.
    const auto seen = recent_ids_.find(outcome.change);
    if (seen != recent_ids_.end()) {
        outcome.result = fold_result::duplicate;
        outcome.to = seen->second;
        return;
    }
    const config_version base(record.base_version());
    if (base != version_) {
        refuse_base(base, outcome);
    } else if (record.body_case() == pb::ConfigRecord::BODY_NOT_SET) {
        refuse(outcome, result_code::manifest_malformed, "the record changes nothing");
    } else {
        static const manifest nothing;
        checked_manifest next =
            record.has_replace()
                ? from_message(record.replace())
                : apply_change(current_ != nullptr ? *current_ : nothing, record.change());
        if (next.value.has_value())
            accept(std::move(*next.value), outcome);
        else
            refuse(outcome, next.faults);
    }
    remember(outcome.change, outcome.to);
}

void config_fold::accept(manifest next, fold_outcome& outcome) {
    current_ = std::make_shared<const manifest>(std::move(next));
    version_ = version_.next();
    outcome.result = fold_result::accepted;
    outcome.to = version_;
}

void config_fold::refuse_base(config_version base, fold_outcome& outcome) const {
    const auto winner = std::ranges::find(recent_, base.next(), &judged_change::to);
    std::string reason = "made from version " + std::to_string(base.value()) +
                         ", but the version in force is " + std::to_string(version_.value());
    if (winner != recent_.end() && base.value() < version_.value()) {
        outcome.winner = winner->id;
        reason += "; \"" + winner->id.str() + "\" came first";
    }
    refuse(outcome, result_code::manifest_stale_base, std::move(reason));
}

void config_fold::remember(const record_id& id, config_version to) {
    recent_.push_back({id, to});
    recent_ids_.emplace(id, to);
    if (recent_.size() <= max_recent)
        return;
    recent_ids_.erase(recent_.front().id);
    recent_.pop_front();
}

bool config_fold::is_usable_snapshot(std::string_view bytes, log_offset first_kept) {
    pb::ConfigRecord record;
    return parse(bytes, record) && record.has_snapshot() &&
           record.snapshot().through_offset() + 1 >= first_kept.value();
}

bool config_fold::take_over_record(std::string_view bytes) {
    pb::ConfigRecord record;
    return parse(bytes, record) && record.has_snapshot() && take_over(record.snapshot());
}

bool config_fold::take_over(std::string_view snapshot) {
    pb::ConfigSnapshot state;
    return parse(snapshot, state) && take_over(state);
}

// Guards against a lagging peer or an old snapshot that would take this process back to a version
// in which, say, a drained data centre is still in service.
bool config_fold::take_over(const pb::ConfigSnapshot& state) {
    if (state.through_offset() <= offset_.value() || state.version() < version_.value() ||
        state.version() == 0)
        return false;
    checked_manifest next = from_message(state.manifest());
    if (!next.value.has_value() || state.recent_size() > static_cast<int>(max_recent))
        return false;
    current_ = std::make_shared<const manifest>(std::move(*next.value));
    version_ = config_version(state.version());
    offset_ = log_offset(state.through_offset());
    recent_.clear();
    recent_ids_.clear();
    for (const pb::JudgedChange& change : state.recent())
        remember(record_id(change.record_id()), config_version(change.to_version()));
    return true;
}

void config_fold::write(pb::ConfigSnapshot& state) const {
    state.set_version(version_.value());
    state.set_through_offset(offset_.value());
    if (current_ != nullptr)
        *state.mutable_manifest() = to_message(*current_);
    for (const judged_change& change : recent_) {
        pb::JudgedChange& entry = *state.add_recent();
        entry.set_record_id(change.id.str());
        entry.set_to_version(change.to.value());
    }
}

std::string config_fold::snapshot() const {
    pb::ConfigSnapshot state;
    write(state);
    return state.SerializeAsString();
}

std::string config_fold::snapshot_record(wall_time now) const {
    pb::ConfigRecord record;
    record.set_record_id("snapshot-" + std::to_string(version_.value()) + "-" +
                         std::to_string(offset_.value()));
    record.set_wall_ms(now.time_since_epoch().count());
    record.set_base_version(version_.value());
    write(*record.mutable_snapshot());
    return record.SerializeAsString();
}

} // namespace figwinch
