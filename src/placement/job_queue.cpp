#include "figwinch/placement/job_queue.h"

namespace figwinch {
namespace {

std::size_t rank_of(work_class value) {
    switch (value) {
    case work_class::urgent:
        return 0;
    case work_class::service:
        return 1;
    case work_class::normal:
        return 2;
    case work_class::bulk:
        return 3;
    }
    return 3;
}

} // namespace

double job_queue::usage(const customer_id& customer) const {
    const auto known = usage_.find(customer);
    return known == usage_.end() ? 0 : known->second;
}

void job_queue::add(const job_key& job, const customer_id& customer, work_class job_class,
                    std::uint64_t age) {
    const std::size_t rank = rank_of(job_class);
    if (!entries_.try_emplace(job, entry{customer, rank, age}).second)
        return;
    class_queue& queue = classes_[rank];
    ordered_jobs& jobs = queue.jobs[customer];
    if (jobs.empty())
        queue.customers.insert({usage(customer), customer});
    jobs.insert({age, job});
}

void job_queue::remove(const job_key& job) {
    const auto known = entries_.find(job);
    if (known == entries_.end())
        return;
    const entry removed = known->second;
    entries_.erase(known);
    class_queue& queue = classes_[removed.rank];
    const auto jobs = queue.jobs.find(removed.customer);
    jobs->second.erase({removed.age, job});
    if (!jobs->second.empty())
        return;
    queue.customers.erase({usage(removed.customer), removed.customer});
    queue.jobs.erase(jobs);
}

void job_queue::set_usage(const customer_id& customer, double value) {
    const double before = usage(customer);
    for (class_queue& queue : classes_) {
        if (queue.customers.erase({before, customer}) > 0)
            queue.customers.insert({value, customer});
    }
    usage_[customer] = value;
}

void job_queue::visit(std::size_t limit, const visitor& call) const {
    std::size_t visited = 0;
    for (const class_queue& queue : classes_) {
        for (const auto& [value, customer] : queue.customers) {
            for (const auto& [age, job] : queue.jobs.at(customer)) {
                if (visited++ >= limit)
                    return;
                const visit_result found = call(job);
                if (found == visit_result::stop)
                    return;
                if (found == visit_result::next_customer)
                    break;
            }
        }
    }
}

} // namespace figwinch
