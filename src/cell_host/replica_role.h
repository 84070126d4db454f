#pragma once

#include "figwinch/link.h"

#include <optional>

namespace figwinch {

/// Decides whether this host keeps a read replica of the cell's jobs or queries other hosts'
/// replicas. The coordinator assigns the role. Without a coordinator, or if none of the replicas
/// answers, a host starts a replica on its own, after a delay that differs between hosts. Owned by
/// `cell_member`.
class replica_role {
public:
    /// A hash of `self` determines this host's delay.
    replica_role(const clock& time, const incarnation_id& self);

    bool is_replica() const { return is_replica_; }
    /// Whether a coordinator is about to assign this host its role, so that loading a replica
    /// should wait.
    bool awaits_assignment() const;
    const replica_list& readers() const { return readers_; }
    /// Applies the role and the list of replicas in a coordinator's reply.
    void apply(const offer_reply& reply);
    /// `vacant`: whether the log shows that there is no coordinator.
    void tick(bool vacant);
    /// Reports that no replica could answer a query, or that one did.
    void on_unanswered();
    void on_answered() { unanswered_since_.reset(); }

private:
    void start_replica(std::string_view why);
    bool has_elapsed(const std::optional<instant>& since) const;

    const clock& time_;
    duration fallback_delay_;
    bool is_replica_ = true;
    /// When a coordinator first replied, and whether one has assigned this host a role.
    std::optional<instant> coordinator_heard_at_;
    bool assigned_ = false;
    replica_list readers_;
    std::optional<instant> vacant_since_;
    std::optional<instant> unanswered_since_;
    /// Keeps the replica that it started on its own until then, whatever role is assigned.
    instant self_assigned_until_{};
};

} // namespace figwinch
