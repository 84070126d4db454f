#pragma once

#include "figwinch/cell/worker_listing.h"
#include "figwinch/cell/worker_report.h"

#include <functional>
#include <optional>
#include <string>

namespace figwinch {

/// The outcome of an order to a worker, as far as the sender knows it.
enum class order_outcome {
    done,
    /// The worker has seen a higher epoch and rejected the order: its sender is no longer the
    /// coordinator.
    superseded,
    /// A start that can no longer take effect, because the run has already ended or the start
    /// deadline has passed.
    too_late,
    /// A start that was rejected for lack of free resources.
    no_room,
    /// A start that was rejected because the advisor's ticket was missing or had expired.
    not_advised,
    /// Rejected for any other reason, without effect.
    refused,
    /// Answered by another incarnation of the worker than the order was meant for; without effect.
    other_incarnation,
    /// No byte of the order was sent.
    not_sent,
    /// No complete answer was received: the worker may have executed the order, or may still do so.
    unknown,
    /// The sender dropped the order, which had waited too long or was no longer wanted. No byte of
    /// it was sent; says nothing about the worker.
    dropped,
};

/// The enumerator's name, such as "no_room", as used in logs.
const char* to_string(order_outcome outcome);

/// The answer to a start, stop or throttle order, none of which returns a report.
struct order_answer {
    order_outcome outcome = order_outcome::unknown;
    /// The worker's steady clock when it answered, in ms, if the answer has it.
    std::optional<std::int64_t> clock_ms{};
    /// The order may have reached another incarnation of the worker than it was meant for.
    bool may_reach_other_incarnation = true;
};

/// Orders a worker to start one run of a task.
struct start_order {
    std::string task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    /// The start deadline, on the worker's clock: the order has no effect if it arrives later. It
    /// also extends the worker's lease up to this time.
    std::int64_t start_by_ms = 0;
    lease_epoch epoch;
    /// The ticket issued by the queue's advisor. Empty if the queue has no advisor.
    std::string ticket;
    /// Checked before sending an order that was delayed on the sender's side. If it returns false,
    /// the order is dropped with the outcome `dropped`. If empty, the order is always sent.
    std::function<bool()> still_wanted{};
    /// The incarnation of the worker that the order is meant for: its start time in ms since 1970.
    /// 0 means any incarnation.
    std::uint64_t incarnation = 0;
};

/// Orders a worker to throttle the CPU of a run to `speed_percent` of its full speed; 0 pauses the
/// run.
struct throttle_order {
    std::string task;
    run_number run;
    int speed_percent = 100;
    lease_epoch epoch;
};

/// Orders a worker to renew its lease, under which all its runs are held, and to send a report.
struct renewal_order {
    /// The new end of the lease, on the worker's clock. If absent, the lease isn't renewed.
    std::optional<std::int64_t> lease_until_ms;
    /// The ends of runs up to this number are stored durably; the worker may discard them.
    std::uint64_t acknowledged = 0;
    /// Long polling: for how long the worker may delay its answer until a run ends.
    duration max_wait{};
    lease_epoch epoch;
    /// The ends of runs up to number `received` of the given incarnation are known to the
    /// coordinator, so the report may leave them out.
    std::uint64_t received = 0;
    std::uint64_t incarnation = 0;
    /// The report must have the task name of every run. Otherwise it may leave out the names of
    /// runs that the worker was ordered to start or has reported before.
    bool require_names = false;
};

/// Client interface for orders to the workers of a cell. Calls don't block, invoke their handler
/// exactly once and are not retried by the implementation. Implemented in platform/ and by test
/// fakes.
class worker_orders {
public:
    using answer_handler = std::function<void(const order_answer&)>;
    /// `report` is empty unless the outcome is `done`.
    using renewal_handler = std::function<void(order_outcome, const worker_report& report)>;

    virtual ~worker_orders() = default;
    virtual void start(const worker_listing& where, const start_order& order,
                       answer_handler done) = 0;
    virtual void stop(const worker_listing& where, const std::string& task, run_number run,
                      lease_epoch epoch, answer_handler done) = 0;
    virtual void throttle(const worker_listing& where, const throttle_order& order,
                          answer_handler done) = 0;
    virtual void renew_lease(const worker_listing& where, const renewal_order& order,
                             renewal_handler done) = 0;
    /// Closes the connections to a worker that has left the cell.
    virtual void forget(const worker_id& worker) = 0;
};

} // namespace figwinch
