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

/// The order in which jobs with queued tasks are tried: by class (urgent, service, normal, bulk),
/// then the customer that uses least for its share, then age. Owned by a scheduler. Every operation
/// costs a logarithm of the queue, so that one cancellation costs the same at any length.
class job_queue {
public:
    /// What a visitor found out about a job.
    enum class verdict {
        /// Goes on with the next job of the customer.
        next_job,
        /// Nothing of this customer can be placed now.
        next_customer,
        stop,
    };
    using visitor = std::function<verdict(const job_key&)>;

    /// Adds the job; does nothing when it is there. `age` orders jobs of one customer.
    void add(const job_key& job, const customer_id& customer, work_class job_class,
             std::uint64_t age);
    void remove(const job_key& job);
    bool contains(const job_key& job) const { return places_.contains(job); }
    /// Sets what a customer uses, divided by its share.
    void set_usage(const customer_id& customer, double usage);
    /// Visits at most `limit` jobs in order. The visitor must not change the queue.
    void visit(std::size_t limit, const visitor& call) const;
    std::size_t size() const { return places_.size(); }

private:
    using ordered_jobs = std::set<std::pair<std::uint64_t, job_key>>;
    struct class_queue {
        std::map<customer_id, ordered_jobs> jobs;
        std::set<std::pair<double, customer_id>> order;
    };
    struct place {
        customer_id customer;
        std::size_t rank = 0;
        std::uint64_t age = 0;
    };

    double usage(const customer_id& customer) const;

    std::array<class_queue, 4> classes_;
    std::unordered_map<job_key, place> places_;
    std::unordered_map<customer_id, double> usage_;
};

} // namespace figwinch
