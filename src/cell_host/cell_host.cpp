#include "cell_host/cell_host.h"

#include "cell_host/cell_status.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

// The balancer asks every second and needs two misses; requests already on their way follow.
constexpr duration drain_notice = std::chrono::milliseconds(2600);
constexpr duration drain_period = std::chrono::milliseconds(20);
// Beside the metrics, for figwinchctl.
constexpr std::string_view status_path = "/cell";
constexpr duration load_period = std::chrono::seconds(5);
constexpr duration stop_margin = std::chrono::milliseconds(700);
// Before the stop's bound, so that answers still reach their callers.
constexpr duration last_answers = std::chrono::milliseconds(200);

http_server_limits caller_limits() {
    http_server_limits limits;
    limits.max_body_bytes = std::size_t{256} * 1024;
    limits.max_connections = 1500;
    return limits;
}

member_place place_of(const cell_host_settings& with) {
    return {to_string(with.bus), data_centre_id(with.data_centre),
            relay_capacity(with.cpu_share, with.link_mbps)};
}

} // namespace

cell_host::cell_host(event_loop& loop, cell_platform& platform, const cell_host_settings& with,
                     incarnation_id self)
    : loop_(loop), platform_(platform), with_(with), self_(std::move(self)), asker_(loop),
      member_(time_, platform, asker_, with.cell, self_, place_of(with), with.cpu_share),
      front_({time_, platform.dialect(), member_.config(), member_.state(), member_.jobs(),
              member_.writer(), [this] { return member_.log_answers(); },
              [this](duration waited) { metrics_.observe_acceptance(waited); }}),
      handovers_(time_, member_.writer(), [this] {
          return !stopping_ && member_.election().leads() && member_.log_answers();
      }) {
    telling_load_ = loop_.every(load_period, [this] { log_load(); });
    tick();
}

absl::Status cell_host::listen() {
    auto callers = http_server::listen(
        loop_, with_.callers.address, with_.callers.port, caller_limits(),
        [this](const http_request& request, const std::shared_ptr<http_responder>& answer) {
            front_.handle(request, answer);
        });
    if (!callers.ok())
        return callers.status();
    callers_server_ = std::move(*callers);
    auto ready = http_server::listen(
        loop_, with_.ready.address, with_.ready.port, {},
        [this](const http_request&, const std::shared_ptr<http_responder>& answer) {
            answer_ready(answer);
        });
    if (!ready.ok())
        return ready.status();
    ready_server_ = std::move(*ready);
    auto metrics = http_server::listen(
        loop_, with_.metrics.address, with_.metrics.port, {},
        [this](const http_request& request, const std::shared_ptr<http_responder>& answer) {
            http_response response;
            response.body = request.path == status_path
                                ? encode_status(with_.node, member_)
                                : metrics_.expose(member_, front_.counts(), platform_);
            answer->respond(std::move(response));
        });
    if (!metrics.ok())
        return metrics.status();
    metrics_server_ = std::move(*metrics);
    return listen_to_peers();
}

absl::Status cell_host::listen_to_peers() {
    auto peers = bus::bind(loop_, time_, with_.bus.address, with_.bus.port, self_);
    if (!peers.ok())
        return peers.status();
    peers_ = std::move(*peers);
    peers_->on_request([this](const bus_sender&, std::string_view message, const auto& reply) {
        answer_peer(message, reply);
    });
    asker_.use(*peers_);
    writer_ = std::make_unique<bus_writer>(time_, *peers_, [this] { return writer_address(); });
    member_.writer().hand_to(writer_.get());
    return absl::OkStatus();
}

void cell_host::answer_peer(std::string_view message,
                            const std::function<void(std::string)>& reply) {
    if (message.empty())
        return;
    const std::string_view body = message.substr(1);
    switch (static_cast<peer_message>(message.front())) {
    case peer_message::handover:
        return handovers_.handle(body, reply);
    case peer_message::offer:
        return reply(member_.take_offer(body));
    case peer_message::exchange:
        return reply(member_.take_exchange(body));
    case peer_message::step_down:
        return reply(member_.take_step_down(body));
    case peer_message::question:
        return member_.take_question(body, reply);
    }
}

std::optional<std::string> cell_host::writer_address() const {
    const std::optional<reign_view>& reign = member_.election().current();
    if (!reign || reign->holder == self_)
        return std::nullopt;
    return reign->bus_address;
}

void cell_host::tick() {
    load_.note_turn(time_.now());
    const duration next = member_.tick();
    if (writer_)
        writer_->tick();
    load_.expect_turn(time_.now() + next);
    ticking_ = loop_.after(next, [this] { tick(); });
}

/// What this host's time and calls went into since the line before.
void cell_host::log_load() {
    host_load_totals totals{platform_.log_calls(), platform_.order_calls(),  member_.passed_on(),
                            front_.counts().asked, front_.counts().accepted, {}};
    for (const cell_stream stream : all_streams)
        totals.reads.at(static_cast<std::size_t>(stream)) = platform_.log_reads(stream);
    load_.log(totals, member_.links(), member_.coordinating() != nullptr);
}

void cell_host::answer_ready(const std::shared_ptr<http_responder>& answer) const {
    constexpr int unavailable = 503;
    http_response response;
    response.status = is_ready() ? 200 : unavailable;
    answer->respond(std::move(response));
}

void cell_host::stop() {
    if (std::exchange(stopping_, true))
        return;
    log_event(log_level::info, "stopping", {});
    member_.resign();
    const duration bound = with_.grace - stop_margin;
    front_.end_by(time_.now() + bound - last_answers);
    bound_ = loop_.after(bound, [this] {
        log_event(log_level::error, "stop_bound_reached", {});
        end();
    });
    notice_ = loop_.after(drain_notice, [this] { finish_stop(); });
}

void cell_host::finish_stop() {
    callers_server_->stop_accepting();
    draining_ = loop_.every(drain_period, [this] {
        if (callers_server_->in_flight() == 0)
            end();
    });
}

/// A resignation has had all the time that callers needed; after the missed renewals of that time
/// another host has claimed unless the log is away for all.
void cell_host::end() {
    member_.abandon_resignation();
    loop_.stop();
}

} // namespace figwinch
