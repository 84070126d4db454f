#pragma once

#include "figwinch/net.h"
#include "membership/peer_service.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace figwinch {

class fake_peers;

/// The network between fake peers: each message takes one turn of the loop, and lost ones time out.
struct fake_peer_network {
    explicit fake_peer_network(event_loop& on) : loop(on) {}

    event_loop& loop;
    std::map<std::string, fake_peers*> by_address;
    /// Addresses that hear nobody and are heard by nobody.
    std::set<std::string> cut;
    /// Addresses whose replies are lost after they have acted.
    std::set<std::string> mute;
};

/// One process on a `fake_peer_network`. Members know of each other as soon as they exist.
class fake_peers final : public peer_service {
public:
    fake_peers(fake_peer_network& network, const std::string& node, member_role role,
               const std::string& data_centre, int boot = 1)
        : network_(network) {
        self_.node = node_id(node);
        self_.incarnation = incarnation_id(node + "#" + std::to_string(boot));
        self_.role = role;
        self_.data_centre = data_centre_id(data_centre);
        self_.address = node;
        self_.state = member_state::live;
        network_.by_address[node] = this;
    }
    ~fake_peers() override { network_.by_address.erase(self_.address); }

    void handle(pb::PeerRequest::BodyCase kind, request_handler call) override {
        handlers_[kind] = std::move(call);
    }
    void ask(const std::string& address, pb::PeerRequest request, duration timeout,
             reply_handler done) override {
        ++asked[request.body_case()];
        auto open = std::make_shared<reply_handler>(std::move(done));
        const auto answer = [open](absl::StatusOr<pb::PeerReply> reply) {
            if (const reply_handler call = std::exchange(*open, nullptr))
                call(std::move(reply));
        };
        const auto lost = [answer] { answer(make_error(result_code::peer_unreachable, "lost")); };
        const bool unreachable = is_cut(address) || !network_.by_address.contains(address);
        if (unreachable) {
            timers_.push_back(network_.loop.after(std::min<duration>(timeout, short_wait), lost));
            return;
        }
        timers_.push_back(network_.loop.after(timeout, lost));
        network_.loop.post([this, address, request = std::move(request), answer] {
            const auto to = network_.by_address.find(address);
            if (to == network_.by_address.end())
                return;
            // A reply that is lost lets the ask time out.
            to->second->receive(self_.incarnation, request,
                                [this, address, answer](pb::PeerReply reply) {
                                    if (network_.mute.contains(address) || is_cut(address))
                                        return;
                                    const auto code = static_cast<result_code>(reply.code());
                                    if (code != result_code::ok)
                                        answer(make_error(code, reply.reason()));
                                    else
                                        answer(std::move(reply));
                                });
        });
    }
    std::vector<member> members() const override {
        std::vector<member> all;
        for (const auto& [address, peer] : network_.by_address)
            if (peer != this)
                all.push_back(peer->self_);
        for (const member& one : gone)
            all.push_back(one);
        return all;
    }
    bool has_settled() const override { return settled; }
    const member& self() const override { return self_; }
    void on_change(std::function<void()> call) override { changed_ = std::move(call); }
    void describe_with(std::function<void(pb::Heartbeat&)> call) override {
        describe_ = std::move(call);
    }
    void
    on_heartbeat(std::function<void(const member&, const pb::Heartbeat&, instant)> call) override {
        heard_ = std::move(call);
    }
    void start_leaving() override { self_.state = member_state::leaving; }

    /// How the others see this process from now on.
    void note_state(member_state state) { self_.state = state; }
    /// Everybody hears everybody once.
    static void exchange_heartbeats(fake_peer_network& network) {
        for (const auto& [address, peer] : network.by_address)
            if (peer->changed_)
                peer->changed_();
        for (const auto& [address, from] : network.by_address) {
            pb::Heartbeat beat;
            if (from->describe_)
                from->describe_(beat);
            for (const auto& [other, to] : network.by_address)
                if (to != from && to->heard_)
                    to->heard_(from->self_, beat, {});
        }
    }

    /// Members that are remembered though they are not on the network any more.
    std::vector<member> gone;
    std::map<pb::PeerRequest::BodyCase, int> asked;
    bool settled = true;

private:
    static constexpr duration short_wait = std::chrono::milliseconds(20);

    bool is_cut(const std::string& address) const {
        return network_.cut.contains(address) || network_.cut.contains(self_.address);
    }
    void receive(const incarnation_id& from, const pb::PeerRequest& request,
                 const std::function<void(pb::PeerReply)>& reply) {
        const auto found = handlers_.find(request.body_case());
        if (found != handlers_.end())
            found->second(from, request, reply);
    }

    fake_peer_network& network_;
    member self_;
    std::map<pb::PeerRequest::BodyCase, request_handler> handlers_;
    std::function<void()> changed_;
    std::function<void(pb::Heartbeat&)> describe_;
    std::function<void(const member&, const pb::Heartbeat&, instant)> heard_;
    std::vector<std::unique_ptr<event_handle>> timers_;
};

} // namespace figwinch
