#include "link/relay_session.h"

#include "link/link_codec.h"
#include "link/link_limits.h"

#include <array>

namespace figwinch {
namespace {

// Limits the run numbers remembered per worker: beyond it they are cleared, and reports name their
// tasks again. Far more than a worker runs at once.
constexpr std::size_t max_known_runs = 512;

} // namespace

void relay_server::session::apply(const pb::LinkExchange& exchange) {
    last_exchange_ = exchange.number();
    for (const pb::LinkWorker& message : exchange.workers())
        add_worker(message);
    for (const pb::LinkPayload& message : exchange.payloads())
        add_payload(message);
    for (const pb::LinkOrder& order : exchange.orders())
        forward(order);
}

pb::LinkReply relay_server::session::drain_results() {
    pb::LinkReply reply;
    reply.Swap(&results_);
    reply.set_taken(true);
    return reply;
}

void relay_server::session::add_worker(const pb::LinkWorker& message) {
    worker& known = workers_[message.number()];
    known.listing.id = worker_id(message.id());
    known.listing.address = {message.address(), static_cast<std::uint16_t>(message.port())};
}

void relay_server::session::add_payload(const pb::LinkPayload& message) {
    payloads_[message.number()] = message.payload();
    payload_order_.push_back(message.number());
    if (payload_order_.size() <= max_cached_payloads)
        return;
    payloads_.erase(payload_order_.front());
    payload_order_.pop_front();
}

void relay_server::session::forward(const pb::LinkOrder& order) {
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

void relay_server::session::start(worker& to, const pb::LinkOrder& order) {
    const auto payload = payloads_.find(order.payload());
    if (payload == payloads_.end())
        return result_handler(order)({order_outcome::not_sent});
    to.known_runs.insert(order.run());
    start_order relayed{order.task(),       run_number(order.run()), payload->second,
                        order.checkpoint(), order.until_ms(),        epoch_,
                        order.ticket()};
    relayed.still_wanted = [&time = time_, received_at = time_.now()] {
        return time.now() - received_at < max_unsent_time;
    };
    relayed.incarnation = order.born_ms();
    orders_.start(to.listing, relayed, result_handler(order));
}

void relay_server::session::stop(const worker& to, const pb::LinkOrder& order) {
    orders_.stop(to.listing, order.task(), run_number(order.run()), epoch_, result_handler(order));
}

void relay_server::session::pace(const worker& to, const pb::LinkOrder& order) {
    orders_.throttle(
        to.listing,
        {order.task(), run_number(order.run()), static_cast<int>(order.percent()), epoch_},
        result_handler(order));
}

void relay_server::session::hold(const worker& to, const pb::LinkOrder& order) {
    renewal_order relayed;
    if (order.has_until_ms())
        relayed.lease_until_ms = order.until_ms();
    relayed.acknowledged = order.noted();
    relayed.max_wait = std::chrono::milliseconds(order.wait_ms());
    relayed.epoch = epoch_;
    relayed.incarnation = order.born_ms();
    orders_.renew_lease(
        to.listing, relayed,
        [weak = weak_from_this(), order](order_outcome outcome, const worker_report& report) {
            if (const auto self = weak.lock())
                self->add_report(order, outcome, report);
        });
}

void relay_server::session::forget(const worker& to, const pb::LinkOrder& order) {
    orders_.forget(to.listing.id);
    workers_.erase(order.worker());
}

worker_orders::answer_handler relay_server::session::result_handler(const pb::LinkOrder& order) {
    return [weak = weak_from_this(), number = order.number()](const order_answer& answer) {
        const auto self = weak.lock();
        if (!self || number == 0)
            return;
        pb::LinkResult& result = *self->results_.add_results();
        result.set_order(number);
        put_answer(answer, result);
    };
}

void relay_server::session::add_report(const pb::LinkOrder& order, order_outcome outcome,
                                       const worker_report& report) {
    pb::LinkResult& result = *results_.add_results();
    result.set_order(order.number());
    put_outcome(outcome, result);
    const auto reporter = workers_.find(order.worker());
    if (outcome != order_outcome::done || reporter == workers_.end())
        return;
    pb::LinkReport& message = *result.mutable_report();
    message.set_clock_ms(report.clock_ms);
    message.set_born_ms(report.incarnation);
    message.set_more_ended(report.has_more_ended);
    fill_running(reporter->second, report, order.names(), message);
    const bool same_incarnation = report.incarnation == order.born_ms();
    for (const ended_run& row : report.ended)
        if (!same_incarnation || row.sequence > order.seen())
            put_end(row, *message.add_ended());
}

void relay_server::session::fill_running(worker& reporter, const worker_report& report, bool names,
                                         pb::LinkReport& message) {
    if (reporter.known_runs.size() > max_known_runs)
        reporter.known_runs.clear();
    absl::flat_hash_set<std::uint64_t> numbers;
    absl::flat_hash_set<std::uint64_t> ambiguous;
    for (const active_run& row : report.running)
        if (!numbers.insert(row.run.value()).second)
            ambiguous.insert(row.run.value());
    for (const active_run& row : report.running) {
        pb::LinkRun& entry = *message.add_running();
        const std::uint64_t run = row.run.value();
        if (reporter.known_runs.insert(run).second || names || ambiguous.contains(run))
            entry.set_task(row.task);
        entry.set_run(run);
        entry.set_checkpoint(row.checkpoint);
        entry.set_percent(static_cast<std::uint32_t>(row.progress_percent));
        entry.set_recent(row.latency_ms_or_cpu_millis);
    }
}

} // namespace figwinch
