#pragma once

#include "figwinch/cell/worker_listing.h"
#include "figwinch/cell/worker_report.h"

#include <functional>
#include <optional>
#include <string>

namespace figwinch {

/// What an order came to, as far as this side can prove.
enum class order_outcome {
    done,
    /// The worker knows a higher epoch: whoever sent the order is no longer the coordinator.
    superseded,
    /// A start that can't take effect any more: its run or its time has passed.
    too_late,
    /// A start that found no room.
    no_room,
    /// A start whose ticket of an advisor is missing or has lapsed.
    not_advised,
    /// Refused for another reason; nothing was done.
    refused,
    /// Another life of the worker answered: nothing was done.
    other_life,
    /// Not a byte left this process.
    not_sent,
    /// No whole answer: the worker may have done it or may do it later.
    unknown,
};

/// "no_room" and so on, for logs.
const char* to_string(order_outcome outcome);

/// An answer to an order that carries no report.
struct order_answer {
    order_outcome outcome = order_outcome::unknown;
    /// The worker's clock, when it said.
    std::optional<std::int64_t> clock_ms{};
    /// Whether another life of the worker than the one that was meant may have got the order.
    bool may_reach_other_life = true;
};

/// An order to start one run.
struct start_order {
    std::string task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    /// On the worker's clock: from then on the start has no effect, and the lease reaches to it.
    std::int64_t until_ms = 0;
    lease_epoch epoch;
    /// Of the queue's advisor; empty where none is asked.
    std::string ticket;
    /// Asked before an order that had to wait is sent: if not, it ends as `not_sent`. Empty: it is.
    std::function<bool()> still_wanted{};
    /// The life of the worker that is meant, ms since 1970; 0: whichever gets the order.
    std::uint64_t born_ms = 0;
};

/// An order to let a run work at a share of its speed.
struct pace_order {
    std::string task;
    run_number run;
    int percent = 100;
    lease_epoch epoch;
};

/// An order to prolong the lease of everything that runs on a worker and to report.
struct hold_order {
    /// On the worker's clock; nothing leaves the lease as it is.
    std::optional<std::int64_t> until_ms;
    /// Ends up to this number have been recorded and may be forgotten.
    std::uint64_t noted = 0;
    /// How long the worker may wait for an end before it answers.
    duration wait{};
    lease_epoch epoch;
    /// Ends up to `seen` of the life `born_ms` are known and needn't be told again.
    std::uint64_t seen = 0;
    std::uint64_t born_ms = 0;
    /// The answer must name the tasks of all runs; else those may be left out that were ordered
    /// or told before.
    bool names = false;
};

/// The port to the workers of a cell. Orders never block and call back once each; they aren't sent
/// again by themselves. Implemented by platform/ and by fakes in tests.
class worker_orders {
public:
    using answer_handler = std::function<void(const order_answer&)>;
    /// Gets nothing in `report` unless the outcome is `done`.
    using hold_handler = std::function<void(order_outcome, const worker_report& report)>;

    virtual ~worker_orders() = default;
    virtual void start(const worker_listing& where, const start_order& order,
                       answer_handler done) = 0;
    virtual void stop(const worker_listing& where, const std::string& task, run_number run,
                      lease_epoch epoch, answer_handler done) = 0;
    virtual void pace(const worker_listing& where, const pace_order& order,
                      answer_handler done) = 0;
    virtual void hold(const worker_listing& where, const hold_order& order, hold_handler done) = 0;
    /// Closes what is open to a worker that has left.
    virtual void forget(const worker_id& worker) = 0;
};

} // namespace figwinch
