// Time and bytes of one change and of one whole manifest, by the number of workers.

#include "bench/bench_report.h"
#include "config.pb.h"
#include "config/manifest_message.h"
#include "figwinch/config.h"

#include <string>

namespace figwinch {
namespace {

constexpr int workers_per_data_centre = 600;
constexpr int workers_per_rack = 8;
constexpr int runs = 9;

std::string address_of(int index, int port) {
    return "10." + std::to_string(index / 65'536) + "." + std::to_string(index / 256 % 256) + "." +
           std::to_string(index % 256) + ":" + std::to_string(port);
}

manifest manifest_of(int workers) {
    manifest config;
    for (int i = 0; i <= (workers - 1) / workers_per_data_centre; ++i)
        config.data_centres.push_back({data_centre_id("dc-" + std::to_string(i)), true});
    for (int i = 0; i < workers; ++i) {
        worker_spec worker;
        worker.name = worker_id("worker-" + std::to_string(i));
        worker.data_centre = data_centre_id("dc-" + std::to_string(i / workers_per_data_centre));
        worker.rack = rack_id("rack-" + std::to_string(i / workers_per_rack));
        worker.address = address_of(i, 7000);
        worker.capacity = {16'000, 61'440, i % 2};
        worker.host = "host-" + std::to_string(i);
        config.workers.push_back(std::move(worker));
    }
    sort_entries(config);
    return config;
}

std::string record_of(std::uint64_t base, const manifest& config) {
    pb::ConfigRecord record;
    record.set_record_id("r" + std::to_string(base));
    record.set_base_version(base);
    *record.mutable_replace() = to_message(config);
    return record.SerializeAsString();
}

std::string drain_record(std::uint64_t base) {
    pb::ConfigRecord record;
    record.set_record_id("r" + std::to_string(base));
    record.set_base_version(base);
    pb::ManifestDataCentre& entry = *record.mutable_change()->mutable_put()->add_data_centres();
    entry.set_name("dc-0");
    entry.set_state(base % 2 == 0 ? "in" : "out");
    return record.SerializeAsString();
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(config_fold) {
    using namespace figwinch;
    for (const int workers : {100, 1000, 5000, 20'000}) {
        const manifest config = manifest_of(workers);
        const double before = heap_bytes();
        figwinch::config_fold fold;
        const auto append = [&fold](const std::string& record) {
            fold.fold(fold.offset().next(), record);
        };
        append(record_of(0, config));
        const double state_bytes = heap_bytes() - before;
        const double whole =
            median_seconds(runs, [&] { append(record_of(fold.version().value(), config)); });
        const double change =
            median_seconds(runs, [&] { append(drain_record(fold.version().value())); });
        const double snapshot = median_seconds(runs, [&] { keep(fold.snapshot().size()); });
        out.add("seconds per change", workers, change, "s");
        out.add("seconds per whole manifest", workers, whole, "s");
        out.add("seconds per snapshot", workers, snapshot, "s");
        out.add("bytes of a change", workers, static_cast<double>(drain_record(1).size()), "bytes");
        out.add("bytes of a whole manifest", workers,
                static_cast<double>(record_of(1, config).size()), "bytes");
        out.add("bytes of state", workers, state_bytes, "bytes");
    }
}
