#include "membership/peer_service.h"

#include "membership/bus_peer_service.h"
#include "membership/member_log.h"

namespace figwinch {
namespace {

/// Owns the service and the timer that drives it.
class timed_peer_service final : public peer_service {
public:
    timed_peer_service(event_loop& loop, const clock& time, bus& messages, peer_settings settings)
        : service_(time, messages, std::move(settings)),
          timer_(loop.every(service_.tick_period(), [this, &time] { service_.tick(time.now()); })) {
        service_.on_change([this, &time] { log_.note(service_.members(), time.now()); });
    }

    void handle(pb::PeerRequest::BodyCase kind, request_handler call) override {
        service_.handle(kind, std::move(call));
    }
    void ask(const std::string& address, pb::PeerRequest request, duration timeout,
             reply_handler done) override {
        service_.ask(address, std::move(request), timeout, std::move(done));
    }
    std::vector<member> members() const override { return service_.members(); }
    bool has_settled() const override { return service_.has_settled(); }
    const member& self() const override { return service_.self(); }
    void on_change(std::function<void()> call) override { service_.on_change(std::move(call)); }
    void describe_with(std::function<void(pb::Heartbeat&)> call) override {
        service_.describe_with(std::move(call));
    }
    void
    on_heartbeat(std::function<void(const member&, const pb::Heartbeat&, instant)> call) override {
        service_.on_heartbeat(std::move(call));
    }
    void start_leaving() override { service_.start_leaving(); }

private:
    bus_peer_service service_;
    member_log log_;
    std::unique_ptr<event_handle> timer_;
};

} // namespace

std::unique_ptr<peer_service> peer_service::create(event_loop& loop, const clock& time,
                                                   bus& messages, peer_settings settings) {
    return std::make_unique<timed_peer_service>(loop, time, messages, std::move(settings));
}

} // namespace figwinch
