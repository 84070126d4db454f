// State, time and bytes of the configuration against the number of workers; each worker brings half
// an executor. A change replaces one worker.

#include "bench/bench_report.h"
#include "config.pb.h"
#include "figwinch/config.h"

namespace figwinch {
namespace {

pb::ManifestWorker worker(int number) {
    pb::ManifestWorker one;
    one.set_name("worker-" + std::to_string(number));
    one.set_data_centre("mu-north-" + std::to_string(number % 3));
    one.set_rack("rack-" + std::to_string(number / 8));
    one.set_address("10." + std::to_string(number / 65536) + "." +
                    std::to_string(number / 256 % 256) + "." + std::to_string(number % 256) +
                    ":7000");
    one.mutable_capacity()->set_cpu_millis(16'000);
    one.mutable_capacity()->set_memory_mib(61'440);
    one.set_host("host-" + std::to_string(number));
    return one;
}

pb::Manifest manifest_of(int workers) {
    pb::Manifest config;
    for (int number = 0; number < 3; ++number) {
        pb::ManifestDataCentre& centre = *config.add_data_centres();
        centre.set_name("mu-north-" + std::to_string(number));
        centre.set_state("in");
    }
    for (int number = 0; number < workers; ++number) {
        *config.add_workers() = worker(number);
        if (number % 2 != 0)
            continue;
        pb::ManifestExecutor& executor = *config.add_executors();
        executor.set_name("executor-" + std::to_string(number));
        executor.set_data_centre("mu-north-" + std::to_string(number % 3));
        executor.set_rack("rack-" + std::to_string(number / 8));
        executor.set_address("10.200." + std::to_string(number / 256) + "." +
                             std::to_string(number % 256) + ":8000");
        executor.set_host("host-" + std::to_string(number));
    }
    return config;
}

std::string change(std::uint64_t base) {
    pb::ConfigRecord record;
    record.set_record_id("change-" + std::to_string(base));
    record.set_author("pipeline");
    record.set_base_version(base);
    pb::ManifestWorker& changed = *record.mutable_change()->mutable_put()->add_workers() =
        worker(0);
    changed.mutable_capacity()->set_cpu_millis(static_cast<std::int64_t>(1000 + base % 1000));
    return record.SerializeAsString();
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(capacity_config) {
    using namespace figwinch;
    for (const int workers : {250, 500, 1000, 2000, 4000}) {
        pb::ConfigRecord first;
        first.set_record_id("first");
        *first.mutable_replace() = manifest_of(workers);
        const std::string bytes = first.SerializeAsString();
        const double before = heap_bytes();
        config_fold fold;
        fold.fold(log_offset(1), bytes);
        if (fold.version() != config_version(1)) {
            out.add("refused", workers, 1, "count");
            continue;
        }
        out.add("heap", workers, heap_bytes() - before, "bytes");
        out.add("snapshot", workers, static_cast<double>(fold.snapshot().size()), "bytes");
        std::uint64_t offset = 1;
        const double seconds = median_seconds(7, [&] {
            const std::uint64_t base = fold.version().value();
            fold.fold(log_offset(++offset), change(base));
        });
        out.add("change", workers, seconds * 1e6, "us");
        out.add("versions", workers, static_cast<double>(fold.version().value()), "count");
    }
}
