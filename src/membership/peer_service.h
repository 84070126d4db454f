#pragma once

#include "figwinch/base.h"
#include "figwinch/membership.h"
#include "figwinch/net.h"
#include "wire.pb.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace figwinch {

class config_view;

/// This process as its peers know it.
struct peer_settings {
    member self;
    /// Bus addresses from the settings to begin with; others are learned from heartbeats.
    std::vector<std::string> seeds;
    duration heartbeat_period = std::chrono::milliseconds(500);
    duration suspect_after = std::chrono::milliseconds(1500);
    duration dead_after = std::chrono::seconds(5);
};

/// Typed messages to and from figwinch's other processes, and the heartbeats that keep the table
/// of members. Owned by the daemon; runs on its loop.
class peer_service {
public:
    using reply_handler = std::function<void(absl::StatusOr<pb::PeerReply>)>;
    using request_handler = std::function<void(const incarnation_id& from, const pb::PeerRequest&,
                                               std::function<void(pb::PeerReply)> reply)>;

    static std::unique_ptr<peer_service> create(event_loop& loop, const clock& time, bus& messages,
                                                peer_settings settings);
    virtual ~peer_service() = default;

    /// Registers the handler of one kind of request. Kinds without one are answered `peer_version`.
    virtual void handle(pb::PeerRequest::BodyCase kind, request_handler call) = 0;
    /// Calls back exactly once; an answer with a code other than 0 arrives as its error.
    virtual void ask(const std::string& address, pb::PeerRequest request, duration timeout,
                     reply_handler done) = 0;
    /// Every member heard of within the forget limit, in order of node, without this process.
    virtual std::vector<member> members() const = 0;
    /// Whether each seed has been heard, or asked in vain for `suspect_after`. Once true, it stays.
    virtual bool has_settled() const = 0;
    virtual const member& self() const = 0;
    /// Called whenever a member appears, changes state or comes back as another incarnation.
    virtual void on_change(std::function<void()> call) = 0;
    /// Fills in what each heartbeat says of this process (version, free slots, queue).
    virtual void describe_with(std::function<void(pb::Heartbeat&)> call) = 0;
    /// Sees each heartbeat of a peer; `asked_at` is when this process sent its own.
    virtual void on_heartbeat(
        std::function<void(const member&, const pb::Heartbeat&, instant asked_at)> call) = 0;
    /// From now on heartbeats say that this process is leaving.
    virtual void start_leaving() = 0;
};

} // namespace figwinch
