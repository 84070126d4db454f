#include "membership/config_exchange.h"

namespace figwinch {
namespace {

std::int64_t age_in_ms(const std::optional<duration>& age) {
    if (!age.has_value())
        return -1;
    // Rounded up: an age must never seem less than it is.
    return std::chrono::ceil<std::chrono::milliseconds>(*age).count();
}

pb::PeerReply config_reply(const config_follower& follower, const pb::FetchConfig& request,
                           instant now) {
    pb::PeerReply reply;
    pb::ConfigState& state = *reply.mutable_config();
    state.set_version(follower.version().value());
    state.set_age_ms(age_in_ms(follower.age(now)));
    if (follower.version().value() > request.newer_than())
        state.mutable_snapshot()->ParseFromString(follower.snapshot());
    return reply;
}

peer_offer offer_of(const member& from, const pb::Heartbeat& heartbeat, instant asked_at) {
    peer_offer offer;
    offer.address = from.address;
    offer.version = config_version(heartbeat.config_version());
    if (heartbeat.config_age_ms() >= 0)
        offer.age = std::chrono::milliseconds(heartbeat.config_age_ms());
    offer.asked_at = asked_at;
    return offer;
}

} // namespace

config_follower::state_fetcher fetch_config_from(peer_service& peers, duration timeout) {
    return [&peers, timeout](const std::string& address, config_version newer_than,
                             config_follower::state_callback done) {
        pb::PeerRequest request;
        request.mutable_fetch_config()->set_newer_than(newer_than.value());
        peers.ask(address, std::move(request), timeout,
                  [done = std::move(done)](const absl::StatusOr<pb::PeerReply>& reply) {
                      if (reply.ok())
                          done(reply->config().snapshot().SerializeAsString());
                      else
                          done(reply.status());
                  });
    };
}

void exchange_config(config_follower& follower, peer_service& peers, const clock& time) {
    peers.describe_with([&](pb::Heartbeat& heartbeat) {
        heartbeat.set_config_version(follower.version().value());
        heartbeat.set_config_age_ms(age_in_ms(follower.age(time.now())));
    });
    peers.on_heartbeat([&](const member& from, const pb::Heartbeat& heartbeat, instant asked_at) {
        follower.offer_peer_state(offer_of(from, heartbeat, asked_at));
    });
    peers.handle(pb::PeerRequest::kFetchConfig,
                 [&](const incarnation_id&, const pb::PeerRequest& request,
                     const std::function<void(pb::PeerReply)>& reply) {
                     reply(config_reply(follower, request.fetch_config(), time.now()));
                 });
}

} // namespace figwinch
