#include "entry/request_dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figwinch {
namespace {

/// An idempotent request leaves an executor that does not answer after this many times the usual
/// latency, or half of the time left when that is longer.
constexpr int patience = 10;
std::int64_t whole_ms(duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

http_request message_for(const interactive_request& request, duration timeout) {
    http_request message;
    message.method = http_method::post;
    message.path = "/v1/execute/" + request.service.str();
    message.headers.add("Figwinch-Request-Id", request.id.str());
    message.headers.add("Figwinch-Customer", request.customer.str());
    message.headers.add("Figwinch-Deadline-Ms", std::to_string(whole_ms(timeout)));
    if (!request.content_type.empty())
        message.headers.add("Content-Type", request.content_type);
    message.body = request.body;
    return message;
}

} // namespace

request_dispatcher::request_dispatcher(peer_service& peers, const clock& time, executor_pool& pool,
                                       executor_links& links, peer_slots& lenders,
                                       claim_service& claims, request_metrics& counts)
    : peers_(peers), time_(time), pool_(pool), links_(links), lenders_(lenders), claims_(claims),
      counts_(counts) {}

bool request_dispatcher::may_go_far(const service_id& service) const {
    return pool_.usable_slots(service, time_.now()) == 0 && !lenders_.has_near_slots();
}

bool request_dispatcher::has_slot(const service_id& service) const {
    return pool_.has_slot(service, time_.now()) || lenders_.has_free(may_go_far(service));
}

service_pace request_dispatcher::pace(const service_id& service) const {
    return {pool_.usable_slots(service, time_.now()), pool_.usual_latency()};
}

dispatch_start request_dispatcher::start(active_request& it, done_handler done) {
    const service_id& service = it.request.service;
    const auto executor = pool_.acquire(service, it.tried, time_.now());
    std::optional<member> lender;
    if (!executor.has_value() && !it.is_forwarded)
        lender = lenders_.take(may_go_far(service));
    if (!executor.has_value() && !lender.has_value())
        return dispatch_start::no_slot;
    if (!use_claim(it)) {
        if (executor.has_value())
            pool_.release(*executor, dispatch_end::refused, duration::zero(), time_.now());
        else
            lenders_.give_back(lender->node);
        return dispatch_start::claim_lapsed;
    }
    ++it.history.dispatches;
    counts_.note_dispatch(lender.has_value(), it.history.dispatches > 1);
    if (executor.has_value())
        call_executor(it, *executor, std::move(done));
    else
        forward(it, *lender, std::move(done));
    return dispatch_start::sent;
}

dispatch_start request_dispatcher::start_elsewhere(active_request& it, std::size_t waiting,
                                                   done_handler done) {
    const int slots = pool_.usable_slots(it.request.service, time_.now());
    const double own =
        slots == 0 ? std::numeric_limits<double>::infinity() : (double(waiting) + 1) / slots;
    const auto lender = lenders_.shorter_queue(own, may_go_far(it.request.service));
    if (!lender.has_value())
        return dispatch_start::no_slot;
    if (!use_claim(it))
        return dispatch_start::claim_lapsed;
    ++it.history.dispatches;
    counts_.note_dispatch(true, it.history.dispatches > 1);
    forward(it, *lender, std::move(done));
    return dispatch_start::sent;
}

bool request_dispatcher::use_claim(const active_request& it) {
    return !it.needs_claim() || claims_.use(it.request.key(), it.claim);
}

duration request_dispatcher::timeout_for(const active_request& it) const {
    const duration left = std::max(duration(1), it.request.deadline - time_.now());
    if (!it.request.idempotent)
        return left;
    return std::min(left, std::max(pool_.usual_latency() * patience, left / 2));
}

void request_dispatcher::call_executor(active_request& it, const executor_id& name,
                                       done_handler done) {
    it.tried.push_back(name);
    const duration timeout = timeout_for(it);
    links_.call(name, message_for(it.request, timeout), it.request.id, it.request.customer, timeout,
                [this, done = std::move(done)](dispatch_end end, http_response response) {
                    if (end == dispatch_end::crossed)
                        counts_.note_crossed();
                    const std::string type(response.headers.find("Content-Type").value_or(""));
                    done({end, std::move(response.body), type, result_code::executor_refused});
                });
}

void request_dispatcher::forward(const active_request& it, const member& to, done_handler done) {
    const duration timeout = timeout_for(it);
    // The other entry may dispatch it late, out of its queue: well within the claim all the same.
    const duration run_within =
        it.request.idempotent ? timeout : std::min(timeout, claims_.guard().use_within());
    pb::PeerRequest message;
    pb::ForwardRequest& body = *message.mutable_forward();
    body.set_service(it.request.service.str());
    body.set_request_id(it.request.id.str());
    body.set_customer(it.request.customer.str());
    body.set_idempotent(it.request.idempotent);
    body.set_deadline_ms(whole_ms(run_within));
    body.set_body(it.request.body);
    body.set_content_type(it.request.content_type);
    peers_.ask(to.address, std::move(message), timeout,
               [this, to, request = it.request.id, customer = it.request.customer,
                done = std::move(done)](const absl::StatusOr<pb::PeerReply>& reply) {
                   done(read_reply(to, request, customer, reply));
               });
}

dispatch_result request_dispatcher::read_reply(const member& from, const request_id& request,
                                               const customer_id& customer,
                                               const absl::StatusOr<pb::PeerReply>& reply) {
    // Without a reply the message may still have arrived and been run.
    if (!reply.ok() || !reply->has_forward())
        return {};
    const pb::ForwardReply& body = reply->forward();
    lenders_.note(from, {body.free_slots(), body.slots(), body.queued()});
    if (body.request_id() != request.str() || body.customer() != customer.str()) {
        counts_.note_crossed();
        return {dispatch_end::crossed, {}, {}, {}};
    }
    const result_info& row = info(static_cast<result_code>(body.code()));
    if (row.code == result_code::ok)
        return {dispatch_end::answered, body.body(), body.content_type(), {}};
    if (row.ran == ran_state::no)
        return {dispatch_end::refused, {}, {}, row.code};
    const bool ran = row.ran == ran_state::yes;
    return {ran ? dispatch_end::failed : dispatch_end::unknown, {}, {}, {}};
}

} // namespace figwinch
