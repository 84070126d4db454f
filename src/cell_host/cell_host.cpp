#include "cell_host/cell_host.h"

#include "cell_host/cell_status.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

// The load balancer checks readiness every second and removes a host after two failures; requests
// already in flight arrive after that.
constexpr duration drain_notice = std::chrono::milliseconds(2600);
constexpr duration drain_period = std::chrono::milliseconds(20);
// Served on the metrics port, for figwinchctl.
constexpr std::string_view status_path = "/cell";
constexpr duration load_log_period = std::chrono::seconds(5);
constexpr duration stop_margin = std::chrono::milliseconds(700);
// Callers' deadlines end this long before the forced exit, so that responses still reach them.
constexpr duration response_margin = std::chrono::milliseconds(200);

http_server_limits caller_limits() {
    http_server_limits limits;
    limits.max_body_bytes = std::size_t{256} * 1024;
    limits.max_connections = 1500;
    return limits;
}

member_info member_info_of(const cell_host_settings& settings) {
    return {to_string(settings.bus), data_centre_id(settings.data_centre),
            relay_capacity(settings.cpu_share, settings.link_mbps)};
}

} // namespace

cell_host::cell_host(event_loop& loop, cell_platform& platform, const cell_host_settings& settings,
                     incarnation_id self)
    : loop_(loop), platform_(platform), settings_(settings), self_(std::move(self)), asker_(loop),
      member_(time_, platform, asker_, settings.cell, self_, member_info_of(settings),
              settings.cpu_share),
      job_api_({time_, platform.job_codec(), member_.config(), member_.state(), member_.jobs(),
                member_.writer(), [this] { return member_.log_answers(); },
                [this](duration waited) { metrics_.observe_acceptance(waited); }}),
      handovers_(time_, member_.writer(), [this] {
          return !stopping_ && member_.election().is_leader() && member_.log_answers();
      }) {
    load_timer_ = loop_.every(load_log_period, [this] { log_load(); });
    tick();
}

absl::Status cell_host::listen() {
    auto callers = http_server::listen(
        loop_, settings_.callers.address, settings_.callers.port, caller_limits(),
        [this](const http_request& request, const std::shared_ptr<http_responder>& answer) {
            job_api_.handle(request, answer);
        });
    if (!callers.ok())
        return callers.status();
    callers_server_ = std::move(*callers);
    auto ready = http_server::listen(
        loop_, settings_.ready.address, settings_.ready.port, {},
        [this](const http_request&, const std::shared_ptr<http_responder>& answer) {
            handle_readiness_check(answer);
        });
    if (!ready.ok())
        return ready.status();
    ready_server_ = std::move(*ready);
    auto metrics = http_server::listen(
        loop_, settings_.metrics.address, settings_.metrics.port, {},
        [this](const http_request& request, const std::shared_ptr<http_responder>& answer) {
            http_response response;
            response.body = request.path == status_path
                                ? encode_status(settings_.node, member_)
                                : metrics_.expose(member_, job_api_.counts(), platform_);
            answer->respond(std::move(response));
        });
    if (!metrics.ok())
        return metrics.status();
    metrics_server_ = std::move(*metrics);
    return listen_to_peers();
}

absl::Status cell_host::listen_to_peers() {
    auto peers = bus::bind(loop_, time_, settings_.bus.address, settings_.bus.port, self_);
    if (!peers.ok())
        return peers.status();
    peers_ = std::move(*peers);
    peers_->on_request([this](const bus_sender&, std::string_view message, const auto& reply) {
        handle_peer_message(message, reply);
    });
    asker_.set_bus(*peers_);
    writer_ =
        std::make_unique<bus_shared_writer>(time_, *peers_, [this] { return writer_address(); });
    member_.writer().set_shared_writer(writer_.get());
    return absl::OkStatus();
}

void cell_host::handle_peer_message(std::string_view message,
                                    const std::function<void(std::string)>& reply) {
    if (message.empty())
        return;
    const std::string_view body = message.substr(1);
    switch (static_cast<peer_message>(message.front())) {
    case peer_message::handover:
        return handovers_.handle(body, reply);
    case peer_message::offer:
        return reply(member_.handle_offer(body));
    case peer_message::exchange:
        return reply(member_.handle_exchange(body));
    case peer_message::step_down:
        return reply(member_.handle_step_down(body));
    case peer_message::question:
        return member_.handle_query(body, reply);
    }
}

std::optional<std::string> cell_host::writer_address() const {
    const std::optional<leader_info>& reign = member_.election().current_leader();
    if (!reign || reign->holder == self_)
        return std::nullopt;
    return reign->bus_address;
}

void cell_host::tick() {
    load_logger_.on_tick(time_.now());
    const duration next = member_.tick();
    if (writer_)
        writer_->tick();
    load_logger_.set_tick_due(time_.now() + next);
    tick_timer_ = loop_.after(next, [this] { tick(); });
}

/// Logs this host's CPU time and call counts since the previous line.
void cell_host::log_load() {
    host_load_totals totals{platform_.log_calls(),      platform_.order_calls(),
                            member_.relayed_orders(),   job_api_.counts().queries,
                            job_api_.counts().accepted, {}};
    for (const cell_stream stream : all_streams)
        totals.reads.at(static_cast<std::size_t>(stream)) = platform_.log_reads(stream);
    load_logger_.log(totals, member_.relay_count(), member_.coordinating() != nullptr);
}

void cell_host::handle_readiness_check(const std::shared_ptr<http_responder>& answer) const {
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
    const duration bound = settings_.grace - stop_margin;
    job_api_.cap_deadlines(time_.now() + bound - response_margin);
    stop_bound_timer_ = loop_.after(bound, [this] {
        log_event(log_level::error, "stop_bound_reached", {});
        exit_loop();
    });
    drain_notice_timer_ = loop_.after(drain_notice, [this] { drain_requests(); });
}

void cell_host::drain_requests() {
    callers_server_->stop_accepting();
    drain_timer_ = loop_.every(drain_period, [this] {
        if (callers_server_->in_flight() == 0)
            exit_loop();
    });
}

/// Gives up a resignation that isn't stored yet: it was retried while callers were served, and the
/// lease renewals missed in that time have let another host claim leadership, unless no host
/// reaches the log.
void cell_host::exit_loop() {
    member_.abandon_resignation();
    loop_.stop();
}

} // namespace figwinch
