#include "link/link_session.h"

#include "link/link_codec.h"
#include "link/link_limits.h"

#include <array>

namespace figwinch {
namespace {

// Limits the run numbers remembered per worker: beyond it they are cleared, and reports name their
// tasks again. Far more than a worker runs at once.
constexpr std::size_t most_known_runs = 512;

} // namespace

void link_server::session::take(const pb::LinkExchange& exchange) {
    exchanges_ = exchange.number();
    for (const pb::LinkWorker& message : exchange.workers())
        take_worker(message);
    for (const pb::LinkPayload& message : exchange.payloads())
        take_payload(message);
    for (const pb::LinkOrder& order : exchange.orders())
        pass_on(order);
}

pb::LinkReply link_server::session::take_results() {
    pb::LinkReply reply;
    reply.Swap(&results_);
    reply.set_taken(true);
    return reply;
}

void link_server::session::take_worker(const pb::LinkWorker& message) {
    worker& known = workers_[message.number()];
    known.listing.id = worker_id(message.id());
    known.listing.address = {message.address(), static_cast<std::uint16_t>(message.port())};
}

void link_server::session::take_payload(const pb::LinkPayload& message) {
    payloads_[message.number()] = message.payload();
    payload_order_.push_back(message.number());
    if (payload_order_.size() <= most_payloads)
        return;
    payloads_.erase(payload_order_.front());
    payload_order_.pop_front();
}

void link_server::session::pass_on(const pb::LinkOrder& order) {
    const auto to = workers_.find(order.worker());
    if (to == workers_.end())
        return;
    switch (order.kind()) {
    case pb::LinkOrder::START:
        return start(to->second, order);
    case pb::LinkOrder::STOP:
        return stop(to->second, order);
    case pb::LinkOrder::PACE:
        return pace(to->second, order);
    case pb::LinkOrder::HOLD:
        return hold(to->second, order);
    case pb::LinkOrder::FORGET:
        return forget(to->second, order);
    default:
        return;
    }
}

void link_server::session::start(worker& to, const pb::LinkOrder& order) {
    const auto payload = payloads_.find(order.payload());
    if (payload == payloads_.end())
        return answer_to(order)({order_outcome::not_sent});
    to.known_runs.insert(order.run());
    start_order what{order.task(),       run_number(order.run()), payload->second,
                     order.checkpoint(), order.until_ms(),        epoch_,
                     order.ticket()};
    what.still_wanted = [&time = time_, begun = time_.now()] {
        return time.now() - begun < longest_unsent;
    };
    what.born_ms = order.born_ms();
    orders_.start(to.listing, what, answer_to(order));
}

void link_server::session::stop(const worker& to, const pb::LinkOrder& order) {
    orders_.stop(to.listing, order.task(), run_number(order.run()), epoch_, answer_to(order));
}

void link_server::session::pace(const worker& to, const pb::LinkOrder& order) {
    orders_.pace(to.listing,
                 {order.task(), run_number(order.run()), static_cast<int>(order.percent()), epoch_},
                 answer_to(order));
}

void link_server::session::hold(const worker& to, const pb::LinkOrder& order) {
    hold_order what;
    if (order.has_until_ms())
        what.until_ms = order.until_ms();
    what.noted = order.noted();
    what.wait = std::chrono::milliseconds(order.wait_ms());
    what.epoch = epoch_;
    orders_.hold(
        to.listing, what,
        [weak = weak_from_this(), order](order_outcome outcome, const worker_report& report) {
            if (const auto self = weak.lock())
                self->add_report(order, outcome, report);
        });
}

void link_server::session::forget(const worker& to, const pb::LinkOrder& order) {
    orders_.forget(to.listing.id);
    workers_.erase(order.worker());
}

worker_orders::answer_handler link_server::session::answer_to(const pb::LinkOrder& order) {
    return [weak = weak_from_this(), number = order.number()](const order_answer& answer) {
        const auto self = weak.lock();
        if (!self || number == 0)
            return;
        pb::LinkResult& result = *self->results_.add_results();
        result.set_order(number);
        put_answer(answer, result);
    };
}

void link_server::session::add_report(const pb::LinkOrder& order, order_outcome outcome,
                                      const worker_report& report) {
    pb::LinkResult& result = *results_.add_results();
    result.set_order(order.number());
    put_outcome(outcome, result);
    const auto of = workers_.find(order.worker());
    if (outcome != order_outcome::done || of == workers_.end())
        return;
    pb::LinkReport& message = *result.mutable_report();
    message.set_clock_ms(report.clock_ms);
    message.set_born_ms(report.born_ms);
    put_running(of->second, report, order.names(), message);
    const bool same_life = report.born_ms == order.born_ms();
    for (const ended_row& row : report.ended)
        if (!same_life || row.number > order.seen())
            put_end(row, *message.add_ended());
}

void link_server::session::put_running(worker& of, const worker_report& report, bool names,
                                       pb::LinkReport& message) {
    if (of.known_runs.size() > most_known_runs)
        of.known_runs.clear();
    absl::flat_hash_set<std::uint64_t> met;
    absl::flat_hash_set<std::uint64_t> shared;
    for (const running_row& row : report.running)
        if (!met.insert(row.run.value()).second)
            shared.insert(row.run.value());
    for (const running_row& row : report.running) {
        pb::LinkRun& shown = *message.add_running();
        const std::uint64_t run = row.run.value();
        if (of.known_runs.insert(run).second || names || shared.contains(run))
            shown.set_task(row.task);
        shown.set_run(run);
        shown.set_checkpoint(row.checkpoint);
        shown.set_percent(static_cast<std::uint32_t>(row.percent));
        shown.set_recent(row.recent);
    }
}

} // namespace figwinch
