#include "cell_host/replica_role.h"

#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Hosts with enough CPU to be preferred as coordinator claim a vacant leadership within this time.
constexpr duration min_fallback_delay = std::chrono::seconds(2);
// Spreads hosts that start replicas: each loads a full snapshot, and all of them together are more
// than the log can send at once.
constexpr duration fallback_delay_spread = std::chrono::seconds(3);
// How long a host waits for its role. A new coordinator has heard from all hosts after a second.
constexpr duration assignment_timeout = std::chrono::seconds(3);
constexpr duration self_assigned_period = std::chrono::seconds(10);

duration fallback_delay_of(const incarnation_id& self) {
    const auto steps =
        static_cast<std::uint64_t>(fallback_delay_spread / std::chrono::milliseconds(1));
    return min_fallback_delay + std::chrono::milliseconds(stable_hash(self.str()) % steps);
}

} // namespace

replica_role::replica_role(const clock& time, const incarnation_id& self)
    : time_(time), fallback_delay_(fallback_delay_of(self)) {}

void replica_role::apply(const offer_reply& reply) {
    if (reply.replicas)
        readers_ = *reply.replicas;
    if (reply.from_coordinator && !coordinator_heard_at_)
        coordinator_heard_at_ = time_.now();
    assigned_ = assigned_ || reply.mode != read_mode::undecided;
    if (reply.mode == read_mode::undecided || time_.now() < self_assigned_until_)
        return;
    const bool reads = reply.mode == read_mode::replica;
    if (std::exchange(is_replica_, reads) != reads)
        log_event(
            log_level::info, "reading_changed",
            {{"reads", reads}, {"readers", static_cast<std::int64_t>(readers_.entries().size())}});
}

bool replica_role::awaits_assignment() const {
    return coordinator_heard_at_ && !assigned_ &&
           time_.now() - *coordinator_heard_at_ < assignment_timeout;
}

void replica_role::tick(bool vacant) {
    if (!vacant)
        vacant_since_.reset();
    else if (!vacant_since_)
        vacant_since_ = time_.now();
    if (has_elapsed(vacant_since_))
        start_replica("no coordinator");
    if (has_elapsed(unanswered_since_))
        start_replica("no reader answers");
}

bool replica_role::has_elapsed(const std::optional<instant>& since) const {
    return since && time_.now() - *since >= fallback_delay_;
}

void replica_role::on_unanswered() {
    if (!unanswered_since_)
        unanswered_since_ = time_.now();
}

void replica_role::start_replica(std::string_view why) {
    unanswered_since_.reset();
    if (std::exchange(is_replica_, true))
        return;
    self_assigned_until_ = time_.now() + self_assigned_period;
    log_event(log_level::warn, "reading_changed", {{"reads", true}, {"why", std::string(why)}});
}

} // namespace figwinch
