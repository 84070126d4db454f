#include "figwinch/link/relay_client.h"

#include "figwinch/link/peer_message.h"
#include "link/link_codec.h"
#include "link/link_limits.h"

#include <utility>

namespace figwinch {
namespace {

// A longer period delays orders and answers, by half of it on average; a shorter one costs both
// ends more wake-ups.
constexpr duration exchange_period = std::chrono::milliseconds(20);
// A host that is limited to a small share of a core can take a few tenths of a second to answer.
constexpr duration exchange_timeout = std::chrono::milliseconds(700);

/// The job part of a task name: all before the first dot.
std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

} // namespace

relay_client::relay_client(const clock& time, peer_client& peers, std::string address,
                           std::string session, lease_epoch epoch)
    : time_(time), peers_(peers), address_(std::move(address)), session_(std::move(session)),
      epoch_(epoch), queued_(std::make_unique<pb::LinkExchange>()) {}

relay_client::~relay_client() = default;

std::uint32_t relay_client::worker_number(const worker_listing& target) {
    known_worker& known = workers_[target.id];
    if (known.number != 0 && known.address == target.address)
        return known.number;
    known = {++last_worker_, target.address};
    pb::LinkWorker& message = *queued_->add_workers();
    message.set_number(known.number);
    message.set_id(target.id.str());
    message.set_address(target.address.address);
    message.set_port(target.address.port);
    return known.number;
}

/// Returns the number under which the relay caches the payload of the order's job; queues the
/// payload if it is not cached. Both ends evict payloads in the same order, oldest first, so that a
/// number in `cached_payloads_` always refers to a payload that the relay still has.
std::uint64_t relay_client::payload_number(const start_order& order) {
    const std::string job = job_of(order.task);
    const auto [known, is_new] = cached_payloads_.try_emplace(job, last_payload_ + 1);
    if (!is_new)
        return known->second;
    const std::uint64_t number = ++last_payload_;
    pb::LinkPayload& message = *queued_->add_payloads();
    message.set_number(number);
    message.set_payload(order.payload);
    payload_order_.push_back(job);
    if (payload_order_.size() > max_cached_payloads) {
        cached_payloads_.erase(payload_order_.front());
        payload_order_.pop_front();
    }
    return number;
}

std::uint64_t relay_client::add_pending(pending_order&& order) {
    pending_.emplace(++last_order_, std::move(order));
    return last_order_;
}

void relay_client::start(const worker_listing& target, const start_order& order,
                         worker_orders::answer_handler done) {
    const std::uint32_t worker = worker_number(target);
    const std::uint64_t payload = payload_number(order);
    pb::LinkOrder& message = *queued_->add_orders();
    message.set_kind(pb::LinkOrder::START);
    message.set_number(add_pending({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(order.task);
    message.set_run(order.run.value());
    message.set_payload(payload);
    message.set_checkpoint(order.checkpoint);
    message.set_until_ms(order.start_by_ms);
    message.set_born_ms(order.incarnation);
    message.set_ticket(order.ticket);
}

void relay_client::stop(const worker_listing& target, const std::string& task, run_number run,
                        worker_orders::answer_handler done) {
    const std::uint32_t worker = worker_number(target);
    pb::LinkOrder& message = *queued_->add_orders();
    message.set_kind(pb::LinkOrder::STOP);
    message.set_number(add_pending({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(task);
    message.set_run(run.value());
}

void relay_client::pace(const worker_listing& target, const throttle_order& order,
                        worker_orders::answer_handler done) {
    const std::uint32_t worker = worker_number(target);
    pb::LinkOrder& message = *queued_->add_orders();
    message.set_kind(pb::LinkOrder::PACE);
    message.set_number(add_pending({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(order.task);
    message.set_run(order.run.value());
    message.set_percent(static_cast<std::uint32_t>(order.speed_percent));
}

void relay_client::hold(const worker_listing& target, const renewal_order& order,
                        worker_orders::renewal_handler done) {
    const std::uint32_t worker = worker_number(target);
    pb::LinkOrder& message = *queued_->add_orders();
    message.set_kind(pb::LinkOrder::HOLD);
    message.set_number(add_pending({nullptr, std::move(done)}));
    message.set_worker(worker);
    if (order.lease_until_ms)
        message.set_until_ms(*order.lease_until_ms);
    message.set_noted(order.acknowledged);
    message.set_wait_ms(static_cast<std::uint32_t>(order.max_wait / std::chrono::milliseconds(1)));
    message.set_seen(order.received);
    message.set_born_ms(order.incarnation);
    message.set_names(order.require_names);
}

void relay_client::forget(const worker_id& worker) {
    const auto known = workers_.find(worker);
    if (known == workers_.end())
        return;
    pb::LinkOrder& message = *queued_->add_orders();
    message.set_kind(pb::LinkOrder::FORGET);
    message.set_worker(known->second.number);
    workers_.erase(known);
}

void relay_client::tick() {
    if (!in_flight_ && !lost_ && time_.now() >= next_exchange_at_)
        exchange();
}

/// Sends the queued orders; without any an empty exchange, since the reply carries results of
/// earlier orders.
void relay_client::exchange() {
    next_exchange_at_ = time_.now() + exchange_period;
    in_flight_ = true;
    queued_->set_session(session_);
    queued_->set_number(++last_exchange_);
    queued_->set_epoch(epoch_.value());
    last_sent_order_ = last_order_;
    std::string bytes = encode_peer_message(peer_message::exchange, queued_->SerializeAsString());
    queued_->Clear();
    peers_.ask(address_, std::move(bytes), exchange_timeout,
               [this, weak = std::weak_ptr(alive_)](const std::optional<std::string>& reply) {
                   if (!weak.expired())
                       on_reply(reply);
               });
}

void relay_client::on_reply(const std::optional<std::string>& bytes) {
    in_flight_ = false;
    pb::LinkReply reply;
    if (!bytes || !reply.ParseFromArray(bytes->data(), static_cast<int>(bytes->size())) ||
        !reply.taken()) {
        lost_ = true;
        return;
    }
    for (const pb::LinkResult& result : reply.results())
        apply_result(result);
}

void relay_client::apply_result(const pb::LinkResult& result) {
    const auto found = pending_.extract(result.order());
    if (found.empty())
        return;
    const pending_order& order = found.mapped();
    if (order.on_report)
        order.on_report(outcome_of(result), report_of(result.report()));
    else
        order.on_answer(answer_of(result));
}

void relay_client::complete_pending() {
    for (const auto& [number, order] : std::exchange(pending_, {}))
        complete(number, order);
}

void relay_client::complete(std::uint64_t number, const pending_order& order) const {
    const order_outcome outcome =
        number <= last_sent_order_ ? order_outcome::unknown : order_outcome::not_sent;
    if (order.on_report)
        order.on_report(outcome, {});
    else
        order.on_answer({outcome, std::nullopt});
}

} // namespace figwinch
