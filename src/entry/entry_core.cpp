#include "entry/entry_core.h"

#include "entry/http_answer.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration second = std::chrono::seconds(1);
constexpr std::string_view requests_path = "/v1/requests/";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

/// A refusal before anything is known of the request: an earlier send of a non-idempotent one may
/// have run elsewhere.
final_answer early_refusal(const http_request& message, result_code code, std::string reason) {
    final_answer answer = final_answer::refusal(code, std::move(reason));
    const bool idempotent = message.headers.find("Figwinch-Idempotent") == "true";
    const bool first = message.headers.find("Figwinch-Attempt") == "1";
    if (!idempotent && !first && info(code).ran == ran_state::no)
        answer.ran = ran_state::unknown;
    return answer;
}

} // namespace

entry_core::entry_core(event_loop& loop, const clock& time, peer_service& peers,
                       config_view& config, metrics& measured, const entry_core_settings& with)
    : time_(time), loop_(loop), peers_(peers), config_(config), measured_(measured), with_(with),
      counts_(measured), pool_(with.executors, peers.self().data_centre, peers.self().node),
      links_(loop, time, pool_), lenders_(peers.self().data_centre),
      claims_(peers, time, with.claims),
      dispatcher_(peers, time, pool_, links_, lenders_, claims_, counts_),
      requests_(loop, peers, time, dispatcher_, claims_, counts_, with.requests),
      jobs_(peers, time) {
    const auto configure = [this](const manifest& newer, config_version) {
        pool_.configure(newer);
        links_.sync();
        requests_.pump();
    };
    config_.on_change(configure);
    if (const auto known = config_.current())
        configure(*known, config_.version());
    peers_.on_change([this] { update_members(); });
    peers_.describe_with([this](pb::Heartbeat& beat) {
        const peer_load load = own_load();
        beat.set_free_slots(load.free_slots);
        beat.set_slots(load.slots);
        beat.set_queued(load.queued);
    });
    peers_.on_heartbeat([this](const member& from, const pb::Heartbeat& beat, instant) {
        if (from.role == member_role::entry)
            lenders_.note(from, {beat.free_slots(), beat.slots(), beat.queued()});
        requests_.pump();
    });
    peers_.handle(pb::PeerRequest::kForward,
                  [this](const incarnation_id&, const pb::PeerRequest& request,
                         const std::function<void(pb::PeerReply)>& reply) {
                      answer_forward(request.forward(), reply);
                  });
    update_members();
    tick_ = loop_.every(second, [this] { every_second(); });
}

absl::Status entry_core::listen(const std::string& address, std::uint16_t port) {
    auto server = http_server::listen(
        loop_, address, port, with_.http,
        [this](const http_request& message, const std::shared_ptr<http_responder>& responder) {
            route(message, responder);
        });
    if (!server.ok())
        return server.status();
    server_ = std::move(*server);
    return absl::OkStatus();
}

void entry_core::route(const http_request& message,
                       const std::shared_ptr<http_responder>& responder) {
    const std::string_view path = message.path;
    if (path.starts_with(requests_path) && message.method == http_method::post) {
        take_request(message, std::string(path.substr(requests_path.size())), responder);
        return;
    }
    if (path == jobs_path || path.starts_with(std::string(jobs_path) + "/")) {
        const std::string id(path == jobs_path ? "" : path.substr(jobs_path.size() + 1));
        jobs_.handle(message, id, [responder](http_response response) {
            responder->respond(std::move(response));
        });
        return;
    }
    if (path == "/health")
        responder->respond(json_response(http_ok, R"({"state": "up"})"));
    else if (path == "/ready" && is_ready())
        responder->respond(json_response(http_ok, R"({"state": "ready"})"));
    else if (path == "/ready")
        responder->respond(json_response(http_unavailable, R"({"state": "not ready"})"));
    else if (path == "/metrics")
        responder->respond(show_metrics());
    else
        responder->respond(to_http(final_answer::refusal(result_code::unknown_path, "")));
}

void entry_core::take_request(const http_request& message, const std::string& service,
                              const std::shared_ptr<http_responder>& responder) {
    const auto config = config_.current();
    if (config == nullptr) {
        responder->respond(to_http(early_refusal(message, result_code::state_not_recovered, "")));
        return;
    }
    auto request = read_interactive(message, service, *config, time_.now());
    if (!request.ok()) {
        responder->respond(to_http(early_refusal(message, code_of(request.status()),
                                                 std::string(request.status().message()))));
        return;
    }
    requests_.submit(std::move(*request), [responder](const final_answer& answer) {
        responder->respond(to_http(answer));
    });
}

http_response entry_core::show_metrics() {
    http_response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = measured_.expose();
    return response;
}

bool entry_core::is_ready() const {
    // Before its peers are heard, an entry refuses jobs for want of a scheduler.
    return !stopping_ && config_.current() != nullptr && peers_.has_settled();
}

void entry_core::answer_forward(const pb::ForwardRequest& request,
                                const std::function<void(pb::PeerReply)>& reply) {
    const auto answer = [this, request, reply](const final_answer& final) {
        reply(forward_reply(request, final));
    };
    interactive_request taken;
    taken.service = service_id(request.service());
    taken.id = request_id(request.request_id());
    taken.customer = customer_id(request.customer());
    if (request.answer_only()) {
        requests_.answer_resend(taken.key(), answer);
        return;
    }
    taken.idempotent = request.idempotent();
    taken.deadline = time_.now() + std::chrono::milliseconds(request.deadline_ms());
    if (const auto config = config_.current()) {
        if (const service_spec* const spec = find(*config, taken.service))
            taken.request_class = spec->request_class;
        if (const customer_spec* const known = find(*config, taken.customer))
            taken.share = known->share;
    }
    taken.body = request.body();
    taken.content_type = request.content_type();
    requests_.submit_forwarded(std::move(taken), answer);
}

pb::PeerReply entry_core::forward_reply(const pb::ForwardRequest& request,
                                        const final_answer& answer) const {
    pb::PeerReply reply;
    pb::ForwardReply& body = *reply.mutable_forward();
    // The reply has only the code, so that the code must not say more than is known.
    const bool overstated = answer.ran_or_default() != info(answer.code).ran;
    const result_code code = overstated ? result_code::outcome_unknown : answer.code;
    body.set_code(number(code));
    body.set_reason(answer.reason);
    body.set_body(answer.body);
    body.set_content_type(answer.content_type);
    body.set_request_id(request.request_id());
    body.set_customer(request.customer());
    const peer_load load = own_load();
    body.set_free_slots(load.free_slots);
    body.set_slots(load.slots);
    body.set_queued(load.queued);
    return reply;
}

peer_load entry_core::own_load() const {
    if (stopping_)
        return {};
    const instant now = time_.now();
    return {static_cast<std::uint32_t>(pool_.free_slots(now)),
            static_cast<std::uint32_t>(pool_.usable_slots(now)),
            static_cast<std::uint32_t>(requests_.waiting())};
}

void entry_core::set_listed_leaving(std::span<const executor_id> leaving) {
    pool_.set_listed_leaving(leaving);
}

void entry_core::update_members() {
    std::vector<node_id> live;
    if (!stopping_)
        live.push_back(peers_.self().node);
    for (const member& one : peers_.members()) {
        if (one.role != member_role::entry)
            continue;
        if (one.state != member_state::live)
            lenders_.forget(one.node);
        else if (one.data_centre == peers_.self().data_centre)
            live.push_back(one.node);
    }
    // Alone in its data centre, a stopping entry still serves what it has taken.
    if (live.empty())
        live.push_back(peers_.self().node);
    pool_.set_entries(live);
    links_.sync();
    requests_.pump();
}

void entry_core::every_second() {
    links_.sync();
    links_.check_health();
    links_.close_idle();
    report_latency();
}

void entry_core::report_latency() {
    pb::PeerRequest message;
    for (const executor_report& report : pool_.take_reports()) {
        pb::LatencyReport::Executor& line = *message.mutable_latency()->add_executors();
        line.set_name(report.name.str());
        line.set_p99_us(report.p99.count());
        line.set_samples(report.samples);
        line.set_target_us(target_us(report.name));
    }
    if (message.latency().executors().empty())
        return;
    for (const member& one : peers_.members())
        if (one.role == member_role::scheduler && one.state == member_state::live &&
            one.data_centre == peers_.self().data_centre)
            peers_.ask(one.address, message, second, [](const absl::StatusOr<pb::PeerReply>&) {});
}

std::int64_t entry_core::target_us(const executor_id& name) const {
    const auto config = config_.current();
    const executor_spec* const spec = config == nullptr ? nullptr : find(*config, name);
    duration target = duration::max();
    if (spec == nullptr)
        return 0;
    for (const service_spec& service : config->services) {
        const bool served = spec->services.empty() ||
                            std::ranges::find(spec->services, service.name) != spec->services.end();
        if (served)
            target = std::min(target, service.latency_target);
    }
    return target == duration::max() ? 0 : target.count();
}

void entry_core::announce_stop() {
    stopping_ = true;
    peers_.start_leaving();
    update_members();
}

void entry_core::stop_taking() {
    requests_.start_draining();
    if (server_ != nullptr)
        server_->stop_accepting();
}

bool entry_core::is_drained() const {
    return requests_.active() == 0 && (server_ == nullptr || server_->in_flight() == 0);
}

} // namespace figwinch
