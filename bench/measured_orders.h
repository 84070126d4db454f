#pragma once

#include "bench/processor_stopwatch.h"
#include "figwinch/cell/worker_orders.h"

namespace figwinch {

/// Passes orders on outside of the measured time, and measures how their answers are handled.
class measured_orders final : public worker_orders {
public:
    measured_orders(worker_orders& orders, processor_stopwatch& stopwatch)
        : orders_(orders), stopwatch_(stopwatch) {}

    void start(const worker_listing& where, const start_order& order,
               answer_handler done) override {
        unmeasured(stopwatch_,
                   [&] { orders_.start(where, order, measured(stopwatch_, std::move(done))); });
    }
    void stop(const worker_listing& where, const std::string& task, run_number run,
              lease_epoch epoch, answer_handler done) override {
        unmeasured(stopwatch_, [&] {
            orders_.stop(where, task, run, epoch, measured(stopwatch_, std::move(done)));
        });
    }
    void throttle(const worker_listing& where, const throttle_order& order,
                  answer_handler done) override {
        unmeasured(stopwatch_,
                   [&] { orders_.throttle(where, order, measured(stopwatch_, std::move(done))); });
    }
    void renew_lease(const worker_listing& where, const renewal_order& order,
                     renewal_handler done) override {
        unmeasured(stopwatch_, [&] {
            orders_.renew_lease(where, order, measured(stopwatch_, std::move(done)));
        });
    }
    void forget(const worker_id& worker) override { orders_.forget(worker); }

private:
    worker_orders& orders_;
    processor_stopwatch& stopwatch_;
};

} // namespace figwinch
