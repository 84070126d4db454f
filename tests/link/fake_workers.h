#pragma once

#include "figwinch/cell.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Records orders to workers. Answers stop and pace orders at once; a test completes start and hold
/// orders by calling `done`.
class fake_workers final : public worker_orders {
public:
    struct recorded_start {
        worker_id worker;
        start_order order;
        answer_handler done;
    };
    struct recorded_hold {
        worker_id worker;
        renewal_order order;
        renewal_handler done;
    };

    std::vector<recorded_start> starts;
    std::vector<recorded_hold> holds;
    std::vector<worker_id> stops;
    std::vector<int> paces;
    std::vector<worker_id> forgotten;

    void start(const worker_listing& target, const start_order& order,
               answer_handler done) override {
        starts.push_back({target.id, order, std::move(done)});
    }
    void stop(const worker_listing& target, const std::string&, run_number, lease_epoch,
              answer_handler done) override {
        stops.push_back(target.id);
        done({order_outcome::done, 7});
    }
    void throttle(const worker_listing&, const throttle_order& order,
                  answer_handler done) override {
        paces.push_back(order.speed_percent);
        done({order_outcome::refused, std::nullopt});
    }
    void renew_lease(const worker_listing& target, const renewal_order& order,
                     renewal_handler done) override {
        holds.push_back({target.id, order, std::move(done)});
    }
    void forget(const worker_id& worker) override { forgotten.push_back(worker); }
};

inline worker_listing listing_of(const std::string& id, const std::string& data_centre = "a") {
    worker_listing worker;
    worker.id = worker_id(id);
    worker.address = {"10.0.1.1", 8000};
    worker.data_centre = data_centre_id(data_centre);
    return worker;
}

inline start_order start_of(const std::string& task, std::uint64_t run) {
    start_order order;
    order.task = task;
    order.run = run_number(run);
    order.payload = "payload of " + task.substr(0, task.find('.'));
    order.start_by_ms = 1500;
    return order;
}

} // namespace figwinch
