#include "figwinch/membership/member_table.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr std::size_t max_superseded = 8;

} // namespace

member_table::member_table(node_id self, membership_limits limits)
    : self_(std::move(self)), limits_(limits) {}

bool member_table::hear(const member& from, instant now) {
    if (from.node == self_ || from.node.empty())
        return false;
    const bool is_new = !rows_.contains(from.node);
    if (is_new && rows_.size() >= limits_.max_members)
        return false;
    row& entry = rows_[from.node];
    // Guards against a late message of an incarnation that has been replaced: it would bring a dead
    // owner of jobs back to life, and the live one would seem to be gone.
    if (std::ranges::find(entry.superseded, from.incarnation) != entry.superseded.end())
        return false;

    bool changed = is_new || restart(entry, from);
    // Leaving is final for an incarnation; a crossed older heartbeat does not undo it.
    const bool begins_to_leave = from.state == member_state::leaving && !entry.is_leaving;
    entry.is_leaving = entry.is_leaving || begins_to_leave;
    changed = changed || begins_to_leave;
    const member_state before = entry.seen.state;
    entry.seen = from;
    entry.seen.last_heard = now;
    entry.seen.state = before;
    entry.was_heard = true;
    if (changed)
        entry.changed_at = now;
    return update_state(entry, now) || changed;
}

bool member_table::restart(row& entry, const member& from) {
    if (entry.seen.incarnation == from.incarnation)
        return false;
    if (entry.was_heard)
        entry.superseded.push_back(entry.seen.incarnation);
    if (entry.superseded.size() > max_superseded)
        entry.superseded.erase(entry.superseded.begin());
    entry.is_leaving = false;
    return true;
}

bool member_table::learn(const member& about, instant now) {
    if (about.node == self_ || about.node.empty())
        return false;
    const auto known = rows_.find(about.node);
    if (known == rows_.end()) {
        if (rows_.size() >= limits_.max_members)
            return false;
        row& entry = rows_[about.node];
        entry.seen = about;
        entry.seen.state = member_state::suspect;
        entry.seen.last_heard = now - limits_.suspect_after;
        entry.changed_at = now;
        return true;
    }
    row& entry = known->second;
    const bool is_silent =
        entry.seen.state == member_state::suspect || entry.seen.state == member_state::dead;
    if (is_silent && !about.address.empty())
        entry.seen.address = about.address;
    return false;
}

bool member_table::advance(instant now) {
    skip_own_pause(now);
    bool changed = false;
    for (auto next = rows_.begin(); next != rows_.end();) {
        row& entry = next->second;
        changed = update_state(entry, now) || changed;
        const duration keep = entry.was_heard ? limits_.forget_after : limits_.dead_after;
        if (now - entry.seen.last_heard > keep) {
            next = rows_.erase(next);
            changed = true;
        } else {
            ++next;
        }
    }
    return changed;
}

// Guards against this process having been frozen: when it wakes, every peer seems to have been
// silent, and it would take over the jobs of all of them. Silence counts only while it listened.
void member_table::skip_own_pause(instant now) {
    const duration pause = now - advanced_at_;
    const bool was_frozen = advanced_at_ != instant{} && pause > limits_.own_pause;
    advanced_at_ = now;
    if (!was_frozen)
        return;
    for (auto& [node, entry] : rows_)
        entry.seen.last_heard = std::min(entry.seen.last_heard + pause, now);
}

bool member_table::update_state(row& entry, instant now) const {
    const duration silence = now - entry.seen.last_heard;
    member_state state = entry.is_leaving ? member_state::leaving : member_state::live;
    if (silence > limits_.dead_after)
        state = member_state::dead;
    else if ((silence > limits_.suspect_after && !entry.is_leaving) || !entry.was_heard)
        state = member_state::suspect;
    const bool changed = entry.seen.state != state;
    entry.seen.state = state;
    return changed;
}

std::vector<member> member_table::members() const {
    std::vector<member> result;
    result.reserve(rows_.size());
    for (const auto& [node, entry] : rows_)
        result.push_back(entry.seen);
    return result;
}

std::vector<member> member_table::changed_since(instant since) const {
    std::vector<member> result;
    for (const auto& [node, entry] : rows_) {
        if (entry.was_heard && entry.changed_at >= since)
            result.push_back(entry.seen);
    }
    return result;
}

const member* member_table::find(const node_id& node) const {
    const auto found = rows_.find(node);
    return found == rows_.end() ? nullptr : &found->second.seen;
}

} // namespace figwinch
