#include "config/manifest_message.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace figwinch {
namespace {

using name_set = std::unordered_set<std::string_view>;

/// Capacities that no other capacity of the list exceeds in every dimension; usually very few.
class shape_list {
public:
    void add(const resources& shape) {
        if (admits(shape))
            return;
        std::erase_if(shapes_, [&](const resources& old) { return fits(old, shape); });
        shapes_.push_back(shape);
    }
    bool admits(const resources& size) const {
        return std::ranges::any_of(shapes_, [&](const resources& s) { return fits(size, s); });
    }
    std::string text() const {
        std::string result;
        for (const resources& shape : shapes_)
            result += (result.empty() ? "" : ", ") + to_string(shape);
        return result.empty() ? "none" : result;
    }

private:
    std::vector<resources> shapes_;
};

class reference_check {
public:
    reference_check(const manifest& config, fault_list& faults)
        : config_(config), faults_(faults) {}

    void run() {
        data_centres_ = names_of(config_.data_centres, "data_centres");
        names_of(config_.workers, "workers");
        names_of(config_.executors, "executors");
        services_ = names_of(config_.services, "services");
        customers_ = names_of(config_.customers, "customers");
        names_of(config_.jobs, "jobs");
        check_addresses(config_.workers, "workers");
        check_addresses(config_.executors, "executors");
        check_hosts();
        check_jobs();
    }

private:
    void fault(result_code code, std::string_view kind, std::size_t index, std::string_view field,
               std::string reason) {
        faults_.push_back(
            {code, std::string(kind) + "[" + std::to_string(index) + "]." + std::string(field),
             std::move(reason)});
    }

    template <class Spec>
    name_set names_of(const std::vector<Spec>& entries, std::string_view kind) {
        name_set names;
        names.reserve(entries.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (!names.insert(entries[i].name.str()).second)
                fault(result_code::manifest_duplicate_name, kind, i, "name",
                      "\"" + entries[i].name.str() + "\" is declared twice");
        }
        return names;
    }

    // Guards against one worker that is declared under two names: schedulers would count its room
    // twice and the second holder would find the lease taken for ever.
    template <class Spec>
    void check_addresses(const std::vector<Spec>& entries, std::string_view kind) {
        std::unordered_map<std::string_view, std::size_t> owner;
        owner.reserve(entries.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto [other, is_new] = owner.emplace(entries[i].address, i);
            if (!is_new)
                fault(result_code::manifest_duplicate_name, kind, i, "address",
                      entries[i].address + " is already the address of \"" +
                          entries[other->second].name.str() + "\"");
        }
    }

    void check_declared(const name_set& declared, const std::string& name, std::string_view kind,
                        std::size_t index, std::string_view field) {
        if (!declared.contains(name))
            fault(result_code::manifest_dangling_name, kind, index, field,
                  "\"" + name + "\" is not declared");
    }

    void check_hosts() {
        for (std::size_t i = 0; i < config_.workers.size(); ++i) {
            const worker_spec& worker = config_.workers[i];
            check_declared(data_centres_, worker.data_centre.str(), "workers", i, "data_centre");
            // Shapes count whether or not the data centre is in service: taking one out must not
            // make the manifest invalid.
            shapes_[worker.data_centre].add(worker.capacity);
            all_shapes_.add(worker.capacity);
        }
        for (std::size_t i = 0; i < config_.executors.size(); ++i) {
            const executor_spec& executor = config_.executors[i];
            check_declared(data_centres_, executor.data_centre.str(), "executors", i,
                           "data_centre");
            for (const service_id& service : executor.services)
                check_declared(services_, service.str(), "executors", i, "services");
        }
    }

    void check_jobs() {
        for (const customer_spec& customer : config_.customers)
            quotas_.emplace(customer.name.str(), &customer.quota);
        for (std::size_t i = 0; i < config_.jobs.size(); ++i) {
            const job_spec& job = config_.jobs[i];
            check_declared(customers_, job.customer.str(), "jobs", i, "customer");
            for (const data_centre_id& name : job.data_centres)
                check_declared(data_centres_, name.str(), "jobs", i, "data_centres");
            check_room(job, i);
        }
    }

    void check_room(const job_spec& job, std::size_t index) {
        const auto admits = [&](const data_centre_id& name) {
            return shapes_[name].admits(job.size);
        };
        const bool has_room = job.data_centres.empty()
                                  ? all_shapes_.admits(job.size)
                                  : std::ranges::any_of(job.data_centres, admits);
        if (!has_room)
            fault(result_code::manifest_impossible_job, "jobs", index, "size",
                  to_string(job.size) + " fits no worker that may run the job; largest shapes: " +
                      all_shapes_.text());
        const auto quota = quotas_.find(job.customer.str());
        if (quota != quotas_.end() && quota->second->has_value() &&
            !fits(job.size, **quota->second))
            fault(result_code::manifest_impossible_job, "jobs", index, "size",
                  "one task of " + to_string(job.size) + " exceeds the quota " +
                      to_string(**quota->second) + " of customer \"" + job.customer.str() + "\"");
    }

    const manifest& config_;
    fault_list& faults_;
    name_set data_centres_;
    name_set services_;
    name_set customers_;
    std::map<data_centre_id, shape_list> shapes_;
    shape_list all_shapes_;
    std::unordered_map<std::string_view, const std::optional<resources>*> quotas_;
};

} // namespace

void check_references(const manifest& config, fault_list& faults) {
    reference_check(config, faults).run();
}

} // namespace figwinch
