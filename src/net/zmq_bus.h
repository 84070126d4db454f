#pragma once

#include "figwinch/net/bus.h"
#include "net/envelope.h"
#include "net/message_age.h"
#include "net/peer_link.h"

#include <unordered_map>

namespace figwinch {

/// `bus` by ZeroMQ: one bound ROUTER for what others ask, one DEALER for each peer that is asked.
class zmq_bus final : public bus {
public:
    zmq_bus(event_loop& loop, const clock& time, incarnation_id self);
    ~zmq_bus() override;
    zmq_bus(const zmq_bus&) = delete;
    zmq_bus& operator=(const zmq_bus&) = delete;

    absl::Status bind(const std::string& address, std::uint16_t port);

    std::uint16_t port() const override { return port_; }
    void on_request(request_handler handle) override { handle_ = std::move(handle); }
    void ask(const std::string& where, std::string body, duration timeout,
             reply_handler done) override;
    void forget(const std::string& where) override;
    const bus_traffic& traffic() const override { return context_->traffic; }

private:
    void receive(zmq_parts parts);
    bool has_expired(const pb::Envelope& envelope, instant now);
    std::function<void(std::string)> replier(const std::string& route,
                                             const pb::Envelope& envelope) const;

    std::shared_ptr<bus_context> context_;
    std::shared_ptr<zmq_stream> router_;
    std::uint16_t port_ = 0;
    request_handler handle_;
    std::unordered_map<std::string, std::shared_ptr<peer_link>> links_;
    std::unordered_map<std::string, message_age_estimator> ages_;
};

} // namespace figwinch
