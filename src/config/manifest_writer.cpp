#include "config/manifest_message.h"

namespace figwinch {
namespace {

std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void write(const resources& value, pb::ManifestSize& message) {
    message.set_cpu_millis(value.cpu_millis);
    message.set_memory_mib(value.memory_mib);
    message.set_accelerators(value.accelerators);
}

void write(const data_centre_spec& spec, pb::ManifestDataCentre& message) {
    message.set_name(spec.name.str());
    message.set_state(spec.in_service ? "in" : "out");
}

void write(const worker_spec& spec, pb::ManifestWorker& message) {
    message.set_name(spec.name.str());
    message.set_data_centre(spec.data_centre.str());
    message.set_rack(spec.rack.str());
    message.set_address(spec.address);
    write(spec.capacity, *message.mutable_capacity());
    message.set_host(spec.host);
}

void write(const executor_spec& spec, pb::ManifestExecutor& message) {
    message.set_name(spec.name.str());
    message.set_data_centre(spec.data_centre.str());
    message.set_rack(spec.rack.str());
    message.set_address(spec.address);
    for (const service_id& service : spec.services)
        message.add_services(service.str());
    message.set_slots(spec.slots);
    message.set_connections(spec.connections);
    message.set_host(spec.host);
}

void write(const service_spec& spec, pb::ManifestService& message) {
    message.set_name(spec.name.str());
    message.set_request_class(std::string(to_string(spec.request_class)));
    message.set_default_deadline_ms(to_ms(spec.default_deadline));
    message.set_latency_target_ms(to_ms(spec.latency_target));
}

void write(const customer_spec& spec, pb::ManifestCustomer& message) {
    message.set_name(spec.name.str());
    message.set_share(spec.share);
    if (spec.quota.has_value())
        write(*spec.quota, *message.mutable_quota());
    message.set_max_queued_jobs(spec.max_queued_jobs);
}

void write(const job_spec& spec, pb::ManifestJob& message) {
    message.set_name(spec.name.str());
    message.set_customer(spec.customer.str());
    message.set_template_name(spec.copied_from.str());
    message.set_job_class(std::string(to_string(spec.job_class)));
    write(spec.size, *message.mutable_size());
    message.set_tasks(spec.tasks);
    message.set_work_ms(to_ms(spec.work));
    message.set_checkpointable(spec.checkpointable);
    message.set_max_attempts(spec.max_attempts);
    for (const data_centre_id& name : spec.data_centres)
        message.add_data_centres(name.str());
}

template <class Spec, class Messages>
void write_all(const std::vector<Spec>& entries, Messages& messages) {
    messages.Reserve(static_cast<int>(entries.size()));
    for (const Spec& entry : entries)
        write(entry, *messages.Add());
}

/// Walks two sorted lists; entries that are new or differ are put, missing ones are removed.
template <class Spec, class Messages, class Names>
void write_difference(const std::vector<Spec>& from, const std::vector<Spec>& to, Messages& put,
                      Names& removed) {
    auto old_entry = from.begin();
    for (const Spec& entry : to) {
        for (; old_entry != from.end() && old_entry->name < entry.name; ++old_entry)
            *removed.Add() = old_entry->name.str();
        const bool known = old_entry != from.end() && old_entry->name == entry.name;
        if (!known || *old_entry != entry)
            write(entry, *put.Add());
        if (known)
            ++old_entry;
    }
    for (; old_entry != from.end(); ++old_entry)
        *removed.Add() = old_entry->name.str();
}

} // namespace

pb::Manifest to_message(const manifest& config) {
    pb::Manifest message;
    write_all(config.data_centres, *message.mutable_data_centres());
    write_all(config.workers, *message.mutable_workers());
    write_all(config.executors, *message.mutable_executors());
    write_all(config.services, *message.mutable_services());
    write_all(config.customers, *message.mutable_customers());
    write_all(config.jobs, *message.mutable_jobs());
    return message;
}

pb::ManifestChange change_between(const manifest& from, const manifest& to) {
    pb::ManifestChange change;
    pb::Manifest& put = *change.mutable_put();
    write_difference(from.data_centres, to.data_centres, *put.mutable_data_centres(),
                     *change.mutable_remove_data_centres());
    write_difference(from.workers, to.workers, *put.mutable_workers(),
                     *change.mutable_remove_workers());
    write_difference(from.executors, to.executors, *put.mutable_executors(),
                     *change.mutable_remove_executors());
    write_difference(from.services, to.services, *put.mutable_services(),
                     *change.mutable_remove_services());
    write_difference(from.customers, to.customers, *put.mutable_customers(),
                     *change.mutable_remove_customers());
    write_difference(from.jobs, to.jobs, *put.mutable_jobs(), *change.mutable_remove_jobs());
    return change;
}

} // namespace figwinch
