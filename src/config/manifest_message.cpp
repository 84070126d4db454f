#include "config/manifest_message.h"

#include "config/entry_reader.h"
#include "config/manifest_limits.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr int default_slots = 8;
constexpr int default_connections = 64;
constexpr int default_max_attempts = 3;
constexpr std::int64_t default_max_queued_jobs = 10'000;

data_centre_spec read(const pb::ManifestDataCentre& message, entry_reader at) {
    data_centre_spec result;
    result.name = data_centre_id(at.name("name", message.name()));
    if (message.state() != "in" && message.state() != "out")
        at.fault("state", "\"" + message.state() + "\" is neither \"in\" nor \"out\"");
    result.in_service = message.state() == "in";
    return result;
}

worker_spec read(const pb::ManifestWorker& message, entry_reader at) {
    worker_spec result;
    result.name = worker_id(at.name("name", message.name()));
    result.data_centre = data_centre_id(message.data_centre());
    result.rack = rack_id(at.optional_name("rack", message.rack()));
    result.address = at.address("address", message.address());
    result.capacity = at.size("capacity", message.capacity());
    result.host = at.optional_name("host", message.host());
    return result;
}

executor_spec read(const pb::ManifestExecutor& message, entry_reader at) {
    executor_spec result;
    result.name = executor_id(at.name("name", message.name()));
    result.data_centre = data_centre_id(message.data_centre());
    result.rack = rack_id(at.optional_name("rack", message.rack()));
    result.address = at.address("address", message.address());
    for (const std::string& service : message.services())
        result.services.emplace_back(service);
    result.slots = static_cast<int>(
        at.number_or("slots", message.slots(), default_slots, max_slots, "requests at once"));
    result.connections = static_cast<int>(at.number_or(
        "connections", message.connections(), default_connections, max_connections, "connections"));
    result.host = at.optional_name("host", message.host());
    return result;
}

service_spec read(const pb::ManifestService& message, entry_reader at) {
    service_spec result;
    result.name = service_id(at.name("name", message.name()));
    result.request_class = at.request_class("request_class", message.request_class());
    result.default_deadline = std::chrono::milliseconds(
        at.number("default_deadline_ms", message.default_deadline_ms(), 1, max_deadline_ms, "ms"));
    result.latency_target = std::chrono::milliseconds(at.number(
        "latency_target_ms", message.latency_target_ms(), 1, max_latency_target_ms, "ms"));
    return result;
}

customer_spec read(const pb::ManifestCustomer& message, entry_reader at) {
    customer_spec result;
    result.name = customer_id(at.name("name", message.name()));
    result.share = static_cast<int>(at.number("share", message.share(), 1, max_share, "of weight"));
    result.quota = at.quota("quota", message.quota());
    result.max_queued_jobs = at.number_or("max_queued_jobs", message.max_queued_jobs(),
                                          default_max_queued_jobs, max_queued_jobs_limit, "jobs");
    return result;
}

job_spec read(const pb::ManifestJob& message, entry_reader at) {
    job_spec result;
    result.name = job_id(at.name("name", message.name()));
    result.customer = customer_id(message.customer());
    result.copied_from = template_id(at.optional_name("template_name", message.template_name()));
    result.job_class = at.job_class("job_class", message.job_class());
    result.size = at.size("size", message.size());
    result.tasks = static_cast<int>(at.number("tasks", message.tasks(), 1, max_tasks, "tasks"));
    const std::int64_t least_work = result.job_class == work_class::service ? 0 : 1;
    result.work = std::chrono::milliseconds(
        at.number("work_ms", message.work_ms(), least_work, max_work_ms, "ms"));
    result.checkpointable = message.checkpointable();
    result.max_attempts =
        static_cast<int>(at.number_or("max_attempts", message.max_attempts(), default_max_attempts,
                                      max_attempts_limit, "attempts"));
    for (const std::string& name : message.data_centres())
        result.data_centres.emplace_back(name);
    return result;
}

template <class Spec, class Messages>
void read_all(const Messages& messages, const std::string& path, fault_list& faults,
              std::vector<Spec>& result) {
    result.reserve(static_cast<std::size_t>(messages.size()));
    for (int i = 0; i < messages.size(); ++i)
        result.push_back(read(messages.Get(i), entry_reader(path, i, faults)));
}

template <class Spec>
void sort_by_name(std::vector<Spec>& entries) {
    std::ranges::stable_sort(entries, {}, &Spec::name);
}

} // namespace

manifest read_entries(const pb::Manifest& message, const std::string& path, fault_list& faults) {
    manifest result;
    read_all(message.data_centres(), path + "data_centres", faults, result.data_centres);
    read_all(message.workers(), path + "workers", faults, result.workers);
    read_all(message.executors(), path + "executors", faults, result.executors);
    read_all(message.services(), path + "services", faults, result.services);
    read_all(message.customers(), path + "customers", faults, result.customers);
    read_all(message.jobs(), path + "jobs", faults, result.jobs);
    return result;
}

void sort_entries(manifest& config) {
    sort_by_name(config.data_centres);
    sort_by_name(config.workers);
    sort_by_name(config.executors);
    sort_by_name(config.services);
    sort_by_name(config.customers);
    sort_by_name(config.jobs);
}

checked_manifest from_message(const pb::Manifest& message) {
    checked_manifest result;
    manifest config = read_entries(message, "", result.faults);
    check_references(config, result.faults);
    if (!result.faults.empty())
        return result;
    sort_entries(config);
    result.value = std::move(config);
    return result;
}

} // namespace figwinch
