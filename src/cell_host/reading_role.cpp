#include "cell_host/reading_role.h"

#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Strong hosts claim a vacant reign within this.
constexpr duration least_patience = std::chrono::seconds(2);
// Hosts that begin to read load the whole state: together more than the log can send at once.
constexpr duration patience_spread = std::chrono::seconds(3);
// A new coordinator knows all hosts after a second.
constexpr duration word_patience = std::chrono::seconds(3);
constexpr duration own_decision_kept = std::chrono::seconds(10);

duration patience_of(const incarnation_id& self) {
    const auto steps = static_cast<std::uint64_t>(patience_spread / std::chrono::milliseconds(1));
    return least_patience + std::chrono::milliseconds(stable_hash(self.str()) % steps);
}

} // namespace

reading_role::reading_role(const clock& time, const incarnation_id& self)
    : time_(time), patience_(patience_of(self)) {}

void reading_role::take(const offer_reply& reply) {
    if (reply.replicas)
        readers_ = *reply.replicas;
    if (reply.from_coordinator && !coordinator_heard_at_)
        coordinator_heard_at_ = time_.now();
    told_ = told_ || reply.mode != read_mode::undecided;
    if (reply.mode == read_mode::undecided || time_.now() < own_until_)
        return;
    const bool reads = reply.mode == read_mode::replica;
    if (std::exchange(reads_, reads) != reads)
        log_event(
            log_level::info, "reading_changed",
            {{"reads", reads}, {"readers", static_cast<std::int64_t>(readers_.entries().size())}});
}

bool reading_role::awaits_word() const {
    return coordinator_heard_at_ && !told_ && time_.now() - *coordinator_heard_at_ < word_patience;
}

void reading_role::tick(bool vacant) {
    if (!vacant)
        vacant_since_.reset();
    else if (!vacant_since_)
        vacant_since_ = time_.now();
    if (is_past(vacant_since_))
        read_for_itself("no coordinator");
    if (is_past(unanswered_since_))
        read_for_itself("no reader answers");
}

bool reading_role::is_past(const std::optional<instant>& since) const {
    return since && time_.now() - *since >= patience_;
}

void reading_role::note_unanswered() {
    if (!unanswered_since_)
        unanswered_since_ = time_.now();
}

void reading_role::read_for_itself(std::string_view why) {
    unanswered_since_.reset();
    if (std::exchange(reads_, true))
        return;
    own_until_ = time_.now() + own_decision_kept;
    log_event(log_level::warn, "reading_changed", {{"reads", true}, {"why", std::string(why)}});
}

} // namespace figwinch
