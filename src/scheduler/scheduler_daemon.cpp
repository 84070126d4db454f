#include "scheduler/scheduler_daemon.h"

#include "membership/config_exchange.h"

#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t log_connections = 8;
constexpr std::size_t page_records = 500;
constexpr duration idle_limit = std::chrono::seconds(30);
constexpr duration members_every = std::chrono::milliseconds(250);

const stream_name& jobs_stream() {
    static const stream_name name("jobs");
    return name;
}

append_outcome outcome_of(const absl::StatusOr<log_offset>& result) {
    if (result.ok())
        return append_outcome::acknowledged;
    return code_of(result.status()) == result_code::log_unavailable ? append_outcome::unavailable
                                                                    : append_outcome::silent;
}

} // namespace

scheduler_daemon::scheduler_daemon(event_loop& loop, const clock& time, daemon_settings with)
    : loop_(loop), time_(time), with_(std::move(with)) {}

absl::Status scheduler_daemon::start() {
    const member& self = with_.rules.self;
    auto messages = bus::bind(loop_, time_, with_.bus_address.address, with_.bus_address.port,
                              self.incarnation);
    if (!messages.ok())
        return messages.status();
    bus_ = std::move(*messages);
    peer_settings peers;
    peers.self = self;
    peers.seeds = with_.peers;
    peers.heartbeat_period = with_.heartbeat_period;
    peers_ = peer_service::create(loop_, time_, *bus_, peers);

    log_http_ = http_client::create(loop_, with_.log, log_connections);
    log_ = std::make_unique<http_log_client>(*log_http_, self.node, with_.call_timeout);
    config_follower_settings follow;
    follow.self = self.node;
    follow.poll_period = with_.poll_period;
    follow.freshness = with_.rules.freshness;
    config_ = std::make_unique<config_follower>(*log_, time_, follow,
                                                fetch_config_from(*peers_, with_.call_timeout));
    exchange_config(*config_, *peers_, time_);
    sizes_ = size_estimator::create(size_estimator::settings{});
    failures_ = failure_policy::create(failure_policy::settings{});
    interference_ = interference_controller::create(interference_controller::settings{});
    core_ = std::make_unique<scheduler_core>(
        with_.rules, *config_,
        scheduler_policies{sizes_.get(), failures_.get(), interference_.get()}, time_.now());
    exchange_rooms();
    config_->on_change([this](const manifest&, config_version version) {
        log_event(log_level::info, "config_changed",
                  {{"version", static_cast<std::int64_t>(version.value())}});
        core_->on_config(time_.now());
    });
    workers_ = std::make_unique<http_worker_client>(loop_, with_.call_timeout);
    handle_peers();

    auto server = http_server::listen(
        loop_, with_.http_address.address, with_.http_address.port, http_server_limits{},
        [this](const http_request& request, const std::shared_ptr<http_responder>& to) {
            on_http(request, to);
        });
    if (!server.ok())
        return server.status();
    http_ = std::move(*server);
    timers_.push_back(loop_.every(with_.tick_period, [this] { tick(); }));
    timers_.push_back(loop_.every(with_.poll_period, [this] { poll_log(); }));
    timers_.push_back(loop_.every(members_every, [this] { tell_members(); }));
    timers_.push_back(loop_.every(idle_limit, [this] { workers_->close_idle(idle_limit); }));
    poll_log();
    return absl::OkStatus();
}

void scheduler_daemon::exchange_rooms() {
    peers_->describe_with([this](pb::Heartbeat& beat) {
        const resources room = core_->largest_room(time_.now());
        beat.mutable_largest_room()->set_cpu_millis(room.cpu_millis);
        beat.mutable_largest_room()->set_memory_mib(room.memory_mib);
        beat.mutable_largest_room()->set_accelerators(room.accelerators);
    });
    peers_->on_heartbeat([this](const member& from, const pb::Heartbeat& beat, instant) {
        const pb::ManifestSize& room = beat.largest_room();
        if (from.role == member_role::scheduler)
            core_->on_peer_room(from.incarnation,
                                {room.cpu_millis(), room.memory_mib(), room.accelerators()});
    });
}

void scheduler_daemon::begin_stop() {
    if (stopping_)
        return;
    log_event(log_level::info, "stopping", {});
    stopping_ = true;
    stop_deadline_ = time_.now() + with_.stop_limit;
    core_->begin_stop(time_.now());
    peers_->start_leaving();
}

void scheduler_daemon::tick() {
    config_->tick(time_.now());
    carry_out(core_->tick(time_.now()));
    if (core_->is_recovered() && !std::exchange(was_recovered_, true)) {
        log_event(log_level::info, "recovered",
                  {{"jobs", static_cast<std::int64_t>(core_->fold().jobs().size())}});
    }
    if (core_->is_deposed() && !stopping_) {
        log_event(log_level::warn, "taken_over", {});
        begin_stop();
    }
    finish_if_stopped();
}

void scheduler_daemon::finish_if_stopped() {
    if (!stopping_)
        return;
    const bool late = time_.now() >= stop_deadline_;
    if (!late && !core_->is_stopped())
        return;
    log_event(late ? log_level::warn : log_level::info, "stopped", {{"late", late}});
    loop_.stop();
}

void scheduler_daemon::carry_out(scheduler_actions actions) {
    for (const worker_command& command : actions.commands)
        send_command(command);
    if (actions.append)
        append(std::move(actions.append->payload));
    for (const fence_ask& ask : actions.asks)
        ask_fence(ask);
    if (actions.read_log)
        poll_log();
}

void scheduler_daemon::send_command(const worker_command& command) {
    const leased_worker* worker = core_->leases().find(command.worker);
    const std::uint64_t token = command.token;
    workers_->send(worker ? worker->spec.address : std::string(), command.body,
                   [this, token](const std::optional<pb::WorkerReply>& reply) {
                       if (reply)
                           core_->on_worker_reply(token, *reply, time_.now());
                       else
                           core_->on_no_worker_reply(token, time_.now());
                   });
}

void scheduler_daemon::append(std::string payload) {
    log_->append(jobs_stream(), std::move(payload),
                 [this](const absl::StatusOr<log_offset>& result) {
                     core_->on_append_outcome(outcome_of(result), time_.now());
                 });
}

void scheduler_daemon::poll_log() {
    if (reading_)
        return;
    reading_ = true;
    const instant sent_at = time_.now();
    log_->read(jobs_stream(), core_->next_offset(), page_records,
               [this, sent_at](const absl::StatusOr<log_page>& page) { take_page(page, sent_at); });
}

void scheduler_daemon::take_page(const absl::StatusOr<log_page>& page, instant sent_at) {
    reading_ = false;
    if (page.ok()) {
        core_->on_jobs_page(*page, sent_at, time_.now());
        return;
    }
    if (code_of(page.status()) == result_code::log_unavailable)
        core_->on_log_unavailable(sent_at);
    if (code_of(page.status()) == result_code::log_truncated)
        core_->on_log_truncated(first_kept_of(page.status()), time_.now());
}

void scheduler_daemon::ask_fence(const fence_ask& ask) {
    pb::PeerRequest request;
    *request.mutable_fence_query() = ask.query;
    const instant asked_at = time_.now();
    peers_->ask(
        ask.peer.address, std::move(request), with_.call_timeout,
        [this, asked_at, from = ask.peer.incarnation](const absl::StatusOr<pb::PeerReply>& reply) {
            if (reply.ok() && reply->has_fence())
                core_->on_fence_reply(from, reply->fence(), asked_at, time_.now());
        });
}

void scheduler_daemon::tell_members() {
    core_->on_members(peers_->members(), time_.now());
}

} // namespace figwinch
