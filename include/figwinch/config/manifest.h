#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// Order of urgency; the lowest class is shed first. `service` marks latency-critical tasks that
/// run until they are removed.
enum class work_class { urgent, normal, bulk, service };

std::optional<work_class> parse_work_class(std::string_view text);
std::string_view to_string(work_class value);

struct data_centre_spec {
    data_centre_id name;
    /// False once operators have taken the data centre out: nothing starts in it.
    bool in_service = true;
    friend bool operator==(const data_centre_spec&, const data_centre_spec&) = default;
};

struct worker_spec {
    worker_id name;
    data_centre_id data_centre;
    rack_id rack;
    /// IP number and port of its command port.
    std::string address;
    resources capacity;
    /// The machine; executors of the same host are disturbed by this worker's tasks.
    std::string host;
    friend bool operator==(const worker_spec&, const worker_spec&) = default;
};

struct executor_spec {
    executor_id name;
    data_centre_id data_centre;
    rack_id rack;
    std::string address;
    /// Services that it answers; empty means every service.
    std::vector<service_id> services;
    int slots = 8;
    int connections = 64;
    std::string host;
    friend bool operator==(const executor_spec&, const executor_spec&) = default;
};

struct service_spec {
    service_id name;
    work_class request_class = work_class::normal;
    duration default_deadline = std::chrono::seconds(5);
    /// The p99 that interference control defends.
    duration latency_target = std::chrono::milliseconds(100);
    friend bool operator==(const service_spec&, const service_spec&) = default;
};

struct customer_spec {
    customer_id name;
    /// Weight of its fair share, 1 to 1000.
    int share = 1;
    /// Bound on its running batch work; empty: none.
    std::optional<resources> quota;
    std::int64_t max_queued_jobs = 10'000;
    friend bool operator==(const customer_spec&, const customer_spec&) = default;
};

struct job_spec {
    job_id name;
    customer_id customer;
    template_id copied_from;
    work_class job_class = work_class::normal;
    /// Declared size of one task; often far off.
    resources size;
    int tasks = 1;
    /// Declared run time of one task; often far off.
    duration work{};
    bool checkpointable = false;
    /// Failures of one task after which the job is failed; on different workers as far as there
    /// are.
    int max_attempts = 3;
    /// Data centres that may run it; empty: any.
    std::vector<data_centre_id> data_centres;
    friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// What operators declare: the desired state, whole. Entries are sorted by name and names are
/// unique per kind (`parse_manifest` sees to both).
struct manifest {
    std::vector<data_centre_spec> data_centres;
    std::vector<worker_spec> workers;
    std::vector<executor_spec> executors;
    std::vector<service_spec> services;
    std::vector<customer_spec> customers;
    std::vector<job_spec> jobs;
    friend bool operator==(const manifest&, const manifest&) = default;
};

/// Entries by name; null when the manifest does not declare the name.
const data_centre_spec* find(const manifest& config, const data_centre_id& name);
const worker_spec* find(const manifest& config, const worker_id& name);
const executor_spec* find(const manifest& config, const executor_id& name);
const service_spec* find(const manifest& config, const service_id& name);
const customer_spec* find(const manifest& config, const customer_id& name);
const job_spec* find(const manifest& config, const job_id& name);

} // namespace figwinch
