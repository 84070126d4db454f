#pragma once

#include "config.pb.h"
#include "config/manifest_message.h"
#include "figwinch/config.h"

#include <string>

namespace figwinch {

/// A small valid manifest: data centres a and b, one worker and one executor each, one service, one
/// customer, one job.
inline manifest sample_manifest() {
    const std::string json = R"({
      "data_centres": [{"name": "b", "state": "in"}, {"name": "a", "state": "in"}],
      "workers": [
        {"name": "w-a", "data_centre": "a", "rack": "r1", "address": "10.0.0.1:7000", "host": "h1",
         "capacity": {"cpu_millis": 16000, "memory_mib": 61440, "accelerators": 1}},
        {"name": "w-b", "data_centre": "b", "rack": "r2", "address": "10.0.1.1:7000", "host": "h2",
         "capacity": {"cpu_millis": 32000, "memory_mib": 122880}}],
      "executors": [{"name": "x-a", "data_centre": "a", "rack": "r1", "address": "10.0.0.1:8000",
                     "services": ["reference"], "host": "h1"}],
      "services": [{"name": "reference", "request_class": "urgent", "default_deadline_ms": 5000,
                    "latency_target_ms": 100}],
      "customers": [{"name": "studio", "share": 10,
                     "quota": {"cpu_millis": 64000, "memory_mib": 245760, "accelerators": 2}}],
      "jobs": [{"name": "render", "customer": "studio", "template_name": "stem",
                "job_class": "bulk", "size": {"cpu_millis": 4000, "memory_mib": 8192},
                "tasks": 2, "work_ms": 60000, "checkpointable": true}]
    })";
    return parse_manifest(json).value.value();
}

/// A record that replaces the whole manifest.
inline std::string replace_record(const std::string& id, std::uint64_t base,
                                  const manifest& config) {
    pb::ConfigRecord record;
    record.set_record_id(id);
    record.set_author("author-of-" + id);
    record.set_base_version(base);
    *record.mutable_replace() = to_message(config);
    return record.SerializeAsString();
}

/// A record that takes data centre `name` out or back.
inline std::string state_record(const std::string& id, std::uint64_t base, const std::string& name,
                                const std::string& state) {
    pb::ConfigRecord record;
    record.set_record_id(id);
    record.set_author("author-of-" + id);
    record.set_base_version(base);
    pb::ManifestDataCentre& entry = *record.mutable_change()->mutable_put()->add_data_centres();
    entry.set_name(name);
    entry.set_state(state);
    return record.SerializeAsString();
}

inline bool is_in_service(const manifest& config, const std::string& data_centre) {
    return find(config, data_centre_id(data_centre))->in_service;
}

} // namespace figwinch
