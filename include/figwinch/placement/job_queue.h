#pragma once

#include "figwinch/base.h"
#include "figwinch/config/manifest.h"
#include "figwinch/jobs/job_key.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace figwinch {

/// Priority queue of the jobs that have queued tasks. Jobs are ordered by class (urgent, service,
/// normal, bulk), then by customer, lowest usage relative to its share first, then by age. Adding
/// or removing a job takes logarithmic time, so a cancellation stays cheap in a long queue. Owned
/// by a scheduler.
class job_queue {
public:
    /// Returned by a visitor: where `visit` continues after a job.
    enum class visit_result {
        /// Continue with the next job of the same customer.
        next_job,
        /// Skip the other jobs of this customer in the class: none of them can be placed now.
        next_customer,
        stop,
    };
    using visitor = std::function<visit_result(const job_key&)>;

    /// Adds a job; does nothing if it is already queued. Among the jobs of one customer and class,
    /// the one with the lowest `age` comes first.
    void add(const job_key& job, const customer_id& customer, work_class job_class,
             std::uint64_t age);
    void remove(const job_key& job);
    bool contains(const job_key& job) const { return entries_.contains(job); }
    /// Sets the resource usage of a customer, divided by its share.
    void set_usage(const customer_id& customer, double usage);
    /// Visits at most `limit` jobs in queue order. The visitor must not modify the queue.
    void visit(std::size_t limit, const visitor& call) const;
    std::size_t size() const { return entries_.size(); }

private:
    using ordered_jobs = std::set<std::pair<std::uint64_t, job_key>>;
    struct class_queue {
        std::map<customer_id, ordered_jobs> jobs;
        std::set<std::pair<double, customer_id>> customers;
    };
    struct entry {
        customer_id customer;
        std::size_t rank = 0;
        std::uint64_t age = 0;
    };

    double usage(const customer_id& customer) const;

    std::array<class_queue, 4> classes_;
    std::unordered_map<job_key, entry> entries_;
    std::unordered_map<customer_id, double> usage_;
};

} // namespace figwinch
