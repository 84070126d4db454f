// What peers and operators ask of `scheduler_daemon`.

#include "scheduler/scheduler_daemon.h"

#include <algorithm>

namespace figwinch {
namespace {

pb::PeerReply refusal(const absl::Status& status) {
    pb::PeerReply reply;
    reply.set_code(number(code_of(status)));
    reply.set_reason(std::string(status.message()));
    return reply;
}

pb::PeerReply job_reply(const absl::Status& status, const pb::JobView& view) {
    if (!status.ok())
        return refusal(status);
    pb::PeerReply reply;
    *reply.mutable_job() = view;
    return reply;
}

http_response text(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(body);
    return response;
}

} // namespace

void scheduler_daemon::handle_peers() {
    using request = pb::PeerRequest;
    using reply_to = std::function<void(pb::PeerReply)>;
    peers_->handle(request::kSubmitJob,
                   [this](const incarnation_id&, const request& what, reply_to reply) {
                       on_submit(what, std::move(reply));
                   });
    peers_->handle(request::kShowJob, [this](const incarnation_id&, const request& what,
                                             const reply_to& reply) { on_show(what, reply); });
    peers_->handle(request::kCancelJob,
                   [this](const incarnation_id&, const request& what, reply_to reply) {
                       on_cancel(what, std::move(reply));
                   });
    peers_->handle(request::kListJobs, [this](const incarnation_id&, const request& what,
                                              const reply_to& reply) { on_list(what, reply); });
    peers_->handle(request::kFenceQuery,
                   [this](const incarnation_id& from, const request& what, const reply_to& reply) {
                       reply(core_->on_fence_query(from, what.fence_query(), time_.now()));
                   });
    peers_->handle(request::kLatency,
                   [this](const incarnation_id&, const request& what, const reply_to& reply) {
                       core_->on_latency(what.latency(), time_.now());
                       reply({});
                   });
    peers_->on_change([this] { tell_members(); });
}

void scheduler_daemon::on_submit(const pb::PeerRequest& request,
                                 std::function<void(pb::PeerReply)> reply) {
    core_->submit(
        request.submit_job().spec(),
        [reply = std::move(reply)](const absl::Status& status, const pb::JobView& view) {
            reply(job_reply(status, view));
        },
        time_.now());
}

bool scheduler_daemon::pass_on(const job_key& job, const pb::PeerRequest& request,
                               const std::function<void(pb::PeerReply)>& reply) {
    const incarnation_id owner = core_->owner_of(job);
    if (owner.empty() || owner == with_.rules.self.incarnation)
        return false;
    const std::vector<member> members = peers_->members();
    const auto place = std::ranges::find(members, owner, &member::incarnation);
    if (place == members.end() || place->state == member_state::dead)
        return false;
    peers_->ask(place->address, request, with_.call_timeout,
                [reply](const absl::StatusOr<pb::PeerReply>& answer) {
                    reply(answer.ok() ? *answer : refusal(answer.status()));
                });
    return true;
}

void scheduler_daemon::on_show(const pb::PeerRequest& request,
                               const std::function<void(pb::PeerReply)>& reply) {
    const job_key job = make_job_key(request.show_job().customer(), request.show_job().job());
    if (pass_on(job, request, reply))
        return;
    const absl::StatusOr<pb::JobView> view = core_->show(job);
    reply(view.ok() ? job_reply(absl::OkStatus(), *view) : refusal(view.status()));
}

void scheduler_daemon::on_cancel(const pb::PeerRequest& request,
                                 std::function<void(pb::PeerReply)> reply) {
    const job_key job = make_job_key(request.cancel_job().customer(), request.cancel_job().job());
    if (pass_on(job, request, reply))
        return;
    core_->cancel(
        job,
        [reply = std::move(reply)](const absl::Status& status, const pb::JobView& view) {
            reply(job_reply(status, view));
        },
        time_.now());
}

void scheduler_daemon::on_list(const pb::PeerRequest& request,
                               const std::function<void(pb::PeerReply)>& reply) {
    pb::PeerReply out;
    *out.mutable_jobs() =
        core_->list(customer_id(request.list_jobs().customer()), request.list_jobs().limit());
    reply(std::move(out));
}

void scheduler_daemon::on_http(const http_request& request,
                               const std::shared_ptr<http_responder>& to) {
    if (request.path == "/health")
        return to->respond(text(200, "up\n"));
    if (request.path == "/metrics") {
        update_metrics();
        return to->respond(text(200, metrics_.expose()));
    }
    if (request.path != "/ready")
        return to->respond(text(404, "unknown path\n"));
    if (stopping_ || !core_->is_recovered())
        return to->respond(text(503, stopping_ ? "stopping\n" : "jobs not recovered\n"));
    std::string lacks = config_->lacks();
    // A stream that was read to its end and holds no manifest: every job would be refused.
    if (lacks.empty() && !config_->current())
        lacks = "a configuration";
    to->respond(lacks.empty() ? text(200, "ready\n") : text(503, lacks + '\n'));
}

void scheduler_daemon::update_metrics() {
    const auto set = [this](const std::string& name, const std::string& help, double value) {
        metrics_.gauge(name, help).Set(value);
    };
    set("figwinch_leases_held_workers", "workers whose lease this process holds",
        static_cast<double>(core_->leases().held()));
    set("figwinch_jobs_owned", "jobs that this process owns",
        static_cast<double>(core_->book().entries().size()));
    set("figwinch_jobs_queued", "jobs with tasks that wait for a worker",
        static_cast<double>(core_->queued_jobs()));
    set("figwinch_fences_open", "take-overs whose tasks may not start yet",
        static_cast<double>(core_->open_fences()));
    set("figwinch_start_verdict_code", "result code that forbids starts now, 0 when allowed",
        number(core_->start_verdict(time_.now())));
    set("figwinch_bus_sent_bytes", "sent to peers since the start",
        static_cast<double>(bus_->traffic().bytes_sent));
}

} // namespace figwinch
