#pragma once

#include "figwinch/membership/member_table.h"
#include "membership/peer_service.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// `peer_service` over a `bus`. Driven by `tick`, so that tests need no loop and no clock of the
/// system.
class bus_peer_service final : public peer_service {
public:
    bus_peer_service(const clock& time, bus& messages, peer_settings settings);

    /// Sends what is due; call every `tick_period`.
    void tick(instant now);
    duration tick_period() const;

    void handle(pb::PeerRequest::BodyCase kind, request_handler call) override;
    void ask(const std::string& address, pb::PeerRequest request, duration timeout,
             reply_handler done) override;
    std::vector<member> members() const override { return table_.members(); }
    bool has_settled() const override;
    const member& self() const override { return settings_.self; }
    void on_change(std::function<void()> call) override;
    void describe_with(std::function<void(pb::Heartbeat&)> call) override;
    void on_heartbeat(
        std::function<void(const member&, const pb::Heartbeat&, instant asked_at)> call) override;
    void start_leaving() override;

private:
    struct contact {
        instant asked_at{};
        /// When the process there last sent a heartbeat of its own accord.
        instant asked_by_at{};
        /// Heartbeats in a row without an answer.
        int unanswered = 0;
        bool was_asked = false;
        bool was_heard = false;
        /// The address turned out to be this process's own.
        bool is_self = false;
    };

    void take_request(const bus_sender& from, std::string_view body,
                      std::function<void(std::string)> reply);
    void take_heartbeat(const pb::Heartbeat& heartbeat, instant asked_at);
    void take_answer(const std::string& address, const absl::StatusOr<pb::PeerReply>& reply,
                     instant asked_at);
    bool is_settled(const contact& to) const;
    void ask_heartbeat(const std::string& address, contact& to, instant now);
    bool is_due(const contact& to, instant now) const;
    void update_contacts();
    pb::Heartbeat describe() const;
    void announce(bool changed);

    const clock& time_;
    bus& bus_;
    peer_settings settings_;
    member_table table_;
    std::map<std::string, contact> contacts_;
    std::map<pb::PeerRequest::BodyCase, request_handler> handlers_;
    std::vector<std::function<void()>> on_change_;
    std::vector<std::function<void(pb::Heartbeat&)>> describe_with_;
    std::vector<std::function<void(const member&, const pb::Heartbeat&, instant)>> on_heartbeat_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
