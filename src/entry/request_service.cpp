#include "entry/request_service.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration give_up_period = std::chrono::milliseconds(10);

bool is_overload(result_code code) {
    return code == result_code::deadline_unreachable || code == result_code::queue_full ||
           code == result_code::customer_over_share;
}

} // namespace

request_service::request_service(event_loop& loop, peer_service& peers, const clock& time,
                                 request_dispatcher& dispatcher, claim_service& claims,
                                 request_metrics& counts, const settings& with)
    : loop_(loop), time_(time), holders_(peers, time), dispatcher_(dispatcher), claims_(claims),
      counts_(counts), with_(with), queue_(with.queue), retries_(with.retries, with.seed),
      answers_(with.max_cached_bytes),
      give_up_tick_(loop.every(give_up_period, [this] { give_up_late(); })) {}

active_request& request_service::add(interactive_request request, answer_handler done) {
    auto it = std::make_unique<active_request>();
    it->number = next_number_++;
    it->history.idempotent = request.idempotent;
    it->received = time_.now();
    it->request = std::move(request);
    it->waiters.push_back(std::move(done));
    active_request& added = *it;
    active_.emplace(added.number, std::move(it));
    return added;
}

void request_service::submit(interactive_request request, answer_handler done) {
    const claim_key key = request.key();
    if (!request.idempotent) {
        // A resend that comes while the first send is being answered gets the same answer.
        if (const auto running = by_key_.find(key); running != by_key_.end()) {
            active_[running->second]->waiters.push_back(std::move(done));
            return;
        }
        if (const final_answer* known = answers_.find(key)) {
            done(*known);
            return;
        }
    }
    active_request& it = add(std::move(request), std::move(done));
    if (!it.request.idempotent)
        by_key_[key] = it.number;
    if (draining_) {
        finish(it.number, final_answer::refusal(result_code::entry_stopping, ""));
        return;
    }
    retries_.note_request();
    if (it.request.idempotent)
        enqueue(it.number);
    else
        resolve(it.number);
}

void request_service::submit_forwarded(interactive_request request, answer_handler done) {
    active_request& it = add(std::move(request), std::move(done));
    it.is_forwarded = true;
    if (draining_)
        finish(it.number, final_answer::refusal(result_code::entry_stopping, ""));
    else
        enqueue(it.number);
}

void request_service::answer_resend(const claim_key& key, answer_handler done) {
    if (const auto running = by_key_.find(key); running != by_key_.end())
        active_[running->second]->waiters.push_back(std::move(done));
    else if (const final_answer* known = answers_.find(key))
        done(*known);
    else
        done(final_answer::refusal(result_code::outcome_unknown, "the answer is no longer kept"));
}

void request_service::resolve(std::uint64_t number) {
    const active_request& it = *active_[number];
    const duration timeout = std::min(with_.claim_timeout, it.request.deadline - time_.now());
    claims_.claim(it.request.customer, it.request.id, it.request.mark, timeout,
                  [this, number](const claim_progress& progress) { note_claim(number, progress); });
}

void request_service::note_claim(std::uint64_t number, const claim_progress& progress) {
    counts_.note_claim(progress.state == claim_state::granted);
    const auto found = active_.find(number);
    if (found == active_.end())
        return;
    if (progress.state == claim_state::granted) {
        found->second->claim = progress.sequence;
        enqueue(number);
    } else if (progress.state == claim_state::held) {
        holders_.ask(found->second->request, progress,
                     [this, number](const final_answer& answer) { finish(number, answer); });
    } else {
        finish(number, final_answer::refusal(result_code::cannot_claim, ""));
    }
}

void request_service::enqueue(std::uint64_t number) {
    active_request& it = *active_[number];
    const bool slot = dispatcher_.has_slot(it.request.service);
    if (slot && queue_.waiting() == 0) {
        dispatch(number);
        return;
    }
    if (!it.is_forwarded && wait_elsewhere(it))
        return;
    wait_in_queue(it);
}

bool request_service::wait_elsewhere(active_request& it) {
    const std::uint64_t number = it.number;
    const dispatch_start started = dispatcher_.start_elsewhere(
        it, queue_.waiting(),
        [this, number](const dispatch_result& result) { note_end(number, result); });
    if (started == dispatch_start::claim_lapsed)
        finish(number, final_answer::refusal(result_code::cannot_claim, "the claim has lapsed"));
    return started != dispatch_start::no_slot;
}

void request_service::wait_in_queue(active_request& it) {
    const service_pace pace = dispatcher_.pace(it.request.service);
    if (pace.slots == 0) {
        finish(it.number, final_answer::refusal(result_code::no_executor, ""));
        return;
    }
    const interactive_request& request = it.request;
    const admission_result result =
        queue_.offer({it.number, request.customer, request.service, request.request_class,
                      request.share, it.received, request.deadline},
                     pace, time_.now());
    if (result.shed.has_value())
        finish(result.shed->number, final_answer::refusal(result.shed->code, ""));
    if (result.code != result_code::ok) {
        final_answer refused = final_answer::refusal(result.code, "");
        refused.retry_after = std::max<duration>(result.predicted_wait, std::chrono::seconds(1));
        finish(it.number, std::move(refused));
        return;
    }
    counts_.set_waiting(queue_.waiting());
    pump();
}

void request_service::pump() {
    // A dispatch that fails at once finishes its request, which pumps again.
    if (std::exchange(pumping_, true))
        return;
    const auto has_slot = [this](const service_id& service) {
        return dispatcher_.has_slot(service);
    };
    while (const auto next = queue_.take(has_slot))
        dispatch(next->number);
    pumping_ = false;
    counts_.set_waiting(queue_.waiting());
}

void request_service::dispatch(std::uint64_t number) {
    active_request& it = *active_[number];
    const dispatch_start started = dispatcher_.start(
        it, [this, number](const dispatch_result& result) { note_end(number, result); });
    if (started == dispatch_start::claim_lapsed)
        finish(number, final_answer::refusal(result_code::cannot_claim, "the claim has lapsed"));
    if (started != dispatch_start::no_slot)
        return;
    // The only free slots are of executors that have refused it: begin again with all of them.
    const bool tried_some = !it.tried.empty();
    it.tried.clear();
    if (tried_some && dispatcher_.has_slot(it.request.service))
        dispatch(number);
    else
        finish(number, final_answer::refusal(result_code::no_executor, ""));
}

void request_service::note_end(std::uint64_t number, const dispatch_result& result) {
    const auto found = active_.find(number);
    if (found == active_.end())
        return;
    active_request& it = *found->second;
    if (result.end == dispatch_end::answered) {
        final_answer answer;
        answer.body = result.body;
        answer.content_type = result.content_type;
        finish(number, std::move(answer));
        return;
    }
    if (result.end == dispatch_end::refused && is_overload(result.refusal) &&
        !it.history.may_have_run) {
        // Sent again it would only wait again: under overload that multiplies the messages.
        finish(number, final_answer::refusal(result.refusal, ""));
        return;
    }
    const duration left = it.request.deadline - time_.now();
    const retry_decision decision = retries_.decide(it.history, result.end, left);
    it.history.may_have_run = it.history.may_have_run || !is_proven_not_run(result.end);
    if (!decision.again_after.has_value()) {
        finish(number, final_answer::refusal(decision.code, ""));
        return;
    }
    it.retry = loop_.after(*decision.again_after, [this, number] { enqueue(number); });
    pump();
}

void request_service::finish(std::uint64_t number, final_answer answer) {
    const auto found = active_.find(number);
    if (found == active_.end())
        return;
    const std::unique_ptr<active_request> it = std::move(found->second);
    active_.erase(found);
    settle_claim(*it, answer);
    if (!it->request.idempotent && !it->is_forwarded) {
        by_key_.erase(it->request.key());
        if (answer.ran_or_default() == ran_state::yes)
            answers_.put(it->request.key(), answer);
    }
    counts_.note_answer(answer.code, it->request.request_class, time_.now() - it->received);
    for (const answer_handler& waiter : it->waiters)
        waiter(answer);
    pump();
}

void request_service::settle_claim(const active_request& it, final_answer& answer) {
    // A refusal in the queue after a dispatch that may have run must not say "not run".
    if (it.history.may_have_run && answer.ran_or_default() == ran_state::no)
        answer.ran = ran_state::unknown;
    if (it.request.idempotent || it.is_forwarded)
        return;
    if (answer.ran_or_default() != ran_state::no) {
        if (it.claim != 0)
            claims_.finish(it.request.key(), it.claim);
        return;
    }
    const bool not_run = it.claim != 0
                             ? claims_.release(it.request.customer, it.request.id, it.claim)
                             : it.request.mark == send_mark::first;
    // Without a valid claim another entry may have run an earlier send.
    if (!not_run)
        answer.ran = ran_state::unknown;
}

void request_service::give_up_late() {
    const duration work = dispatcher_.pace({}).work;
    const auto late = queue_.give_up([work](const service_id&) { return work; }, work, time_.now());
    for (const waiting_request& one : late)
        finish(one.number, final_answer::refusal(result_code::deadline_unreachable, ""));
    // Slots also become free without an answer: a breaker's pause ends, an executor is well again.
    pump();
}

} // namespace figwinch
