#include "figwinch/link/link_lane.h"

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
constexpr duration exchange_patience = std::chrono::milliseconds(700);

/// The job part of a task name: all before the first dot.
std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

} // namespace

link_lane::link_lane(const clock& time, peer_asker& peers, std::string where, std::string session,
                     lease_epoch epoch)
    : time_(time), peers_(peers), where_(std::move(where)), session_(std::move(session)),
      epoch_(epoch), next_(std::make_unique<pb::LinkExchange>()) {}

link_lane::~link_lane() = default;

std::uint32_t link_lane::number_of(const worker_listing& where) {
    known_worker& known = workers_[where.id];
    if (known.number != 0 && known.address == where.address)
        return known.number;
    known = {++last_worker_, where.address};
    pb::LinkWorker& message = *next_->add_workers();
    message.set_number(known.number);
    message.set_id(where.id.str());
    message.set_address(where.address.address);
    message.set_port(where.address.port);
    return known.number;
}

/// Returns the number under which the relay caches the payload of the order's job; queues the
/// payload if it is not cached. Both ends evict payloads in the same order, oldest first, so that a
/// number in `payloads_` always refers to a payload that the relay still has.
std::uint64_t link_lane::payload_of(const start_order& order) {
    const std::string job = job_of(order.task);
    const auto [known, is_new] = payloads_.try_emplace(job, last_payload_ + 1);
    if (!is_new)
        return known->second;
    const std::uint64_t number = ++last_payload_;
    pb::LinkPayload& message = *next_->add_payloads();
    message.set_number(number);
    message.set_payload(order.payload);
    payload_order_.push_back(job);
    if (payload_order_.size() > most_payloads) {
        payloads_.erase(payload_order_.front());
        payload_order_.pop_front();
    }
    return number;
}

std::uint64_t link_lane::add_open(open_order&& order) {
    open_.emplace(++last_order_, std::move(order));
    return last_order_;
}

void link_lane::start(const worker_listing& where, const start_order& order,
                      worker_orders::answer_handler done) {
    const std::uint32_t worker = number_of(where);
    const std::uint64_t payload = payload_of(order);
    pb::LinkOrder& message = *next_->add_orders();
    message.set_kind(pb::LinkOrder::START);
    message.set_number(add_open({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(order.task);
    message.set_run(order.run.value());
    message.set_payload(payload);
    message.set_checkpoint(order.checkpoint);
    message.set_until_ms(order.until_ms);
    message.set_born_ms(order.born_ms);
    message.set_ticket(order.ticket);
}

void link_lane::stop(const worker_listing& where, const std::string& task, run_number run,
                     worker_orders::answer_handler done) {
    const std::uint32_t worker = number_of(where);
    pb::LinkOrder& message = *next_->add_orders();
    message.set_kind(pb::LinkOrder::STOP);
    message.set_number(add_open({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(task);
    message.set_run(run.value());
}

void link_lane::pace(const worker_listing& where, const pace_order& order,
                     worker_orders::answer_handler done) {
    const std::uint32_t worker = number_of(where);
    pb::LinkOrder& message = *next_->add_orders();
    message.set_kind(pb::LinkOrder::PACE);
    message.set_number(add_open({std::move(done), nullptr}));
    message.set_worker(worker);
    message.set_task(order.task);
    message.set_run(order.run.value());
    message.set_percent(static_cast<std::uint32_t>(order.percent));
}

void link_lane::hold(const worker_listing& where, const hold_order& order,
                     worker_orders::hold_handler done) {
    const std::uint32_t worker = number_of(where);
    pb::LinkOrder& message = *next_->add_orders();
    message.set_kind(pb::LinkOrder::HOLD);
    message.set_number(add_open({nullptr, std::move(done)}));
    message.set_worker(worker);
    if (order.until_ms)
        message.set_until_ms(*order.until_ms);
    message.set_noted(order.noted);
    message.set_wait_ms(static_cast<std::uint32_t>(order.wait / std::chrono::milliseconds(1)));
    message.set_seen(order.seen);
    message.set_born_ms(order.born_ms);
    message.set_names(order.names);
}

void link_lane::forget(const worker_id& worker) {
    const auto known = workers_.find(worker);
    if (known == workers_.end())
        return;
    pb::LinkOrder& message = *next_->add_orders();
    message.set_kind(pb::LinkOrder::FORGET);
    message.set_worker(known->second.number);
    workers_.erase(known);
}

void link_lane::tick() {
    if (!in_flight_ && !lost_ && time_.now() >= next_exchange_)
        exchange();
}

/// Sends the queued orders; without any an empty exchange, since the reply carries results of
/// earlier orders.
void link_lane::exchange() {
    next_exchange_ = time_.now() + exchange_period;
    in_flight_ = true;
    next_->set_session(session_);
    next_->set_number(++exchanges_);
    next_->set_epoch(epoch_.value());
    handed_over_ = last_order_;
    std::string bytes = encode_peer_message(peer_message::exchange, next_->SerializeAsString());
    next_->Clear();
    peers_.ask(where_, std::move(bytes), exchange_patience,
               [this, weak = std::weak_ptr(alive_)](const std::optional<std::string>& reply) {
                   if (!weak.expired())
                       take(reply);
               });
}

void link_lane::take(const std::optional<std::string>& bytes) {
    in_flight_ = false;
    pb::LinkReply reply;
    if (!bytes || !reply.ParseFromArray(bytes->data(), static_cast<int>(bytes->size())) ||
        !reply.taken()) {
        lost_ = true;
        return;
    }
    for (const pb::LinkResult& result : reply.results())
        take_result(result);
}

void link_lane::take_result(const pb::LinkResult& result) {
    const auto found = open_.extract(result.order());
    if (found.empty())
        return;
    const open_order& order = found.mapped();
    if (order.held)
        order.held(outcome_of(result), report_of(result.report()));
    else
        order.answered(answer_of(result));
}

void link_lane::end_open() {
    for (const auto& [number, order] : std::exchange(open_, {}))
        end(number, order);
}

void link_lane::end(std::uint64_t number, const open_order& order) const {
    const order_outcome outcome =
        number <= handed_over_ ? order_outcome::unknown : order_outcome::not_sent;
    if (order.held)
        order.held(outcome, {});
    else
        order.answered({outcome, std::nullopt});
}

} // namespace figwinch
