// State and time of the fold of the jobs stream, which every scheduler of a region does whole, and
// time of one placement decision.

#include "bench/bench_report.h"
#include "figwinch/jobs.h"
#include "figwinch/placement.h"
#include "jobs.pb.h"

namespace figwinch {
namespace {

constexpr int tasks_per_job = 10;

std::string accepted(int number) {
    pb::JobBatch batch;
    batch.set_record_id("dc1-s1#1:" + std::to_string(number));
    batch.set_writer("dc1-s1#1");
    pb::JobSpec& spec = *batch.add_events()->mutable_accepted()->mutable_spec();
    spec.set_id("album-2026-12-03-" + std::to_string(number));
    spec.set_customer("studio-a");
    spec.set_template_name("stem-render");
    spec.set_job_class("normal");
    spec.mutable_size()->set_cpu_millis(1000);
    spec.mutable_size()->set_memory_mib(4096);
    spec.set_tasks(tasks_per_job);
    return batch.SerializeAsString();
}

std::string ended(int number, int jobs) {
    pb::JobBatch batch;
    batch.set_record_id("dc1-s1#1:" + std::to_string(jobs + number));
    batch.set_writer("dc1-s1#1");
    for (int task = 0; task < tasks_per_job; ++task) {
        pb::TaskEnded& event = *batch.add_events()->mutable_ended();
        event.set_job("album-2026-12-03-" + std::to_string(number));
        event.set_customer("studio-a");
        event.set_task_index(task);
        event.set_attempt(static_cast<std::uint64_t>(jobs) + 1);
        event.set_end(pb::TASK_END_FINISHED);
        event.set_worker("worker-mu-north-1-0042");
        event.set_final(true);
    }
    return batch.SerializeAsString();
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(capacity_jobs) {
    using namespace figwinch;
    for (const int jobs : {2'000, 5'000, 10'000, 20'000, 40'000}) {
        std::vector<std::string> records;
        records.reserve(static_cast<std::size_t>(jobs));
        for (int number = 1; number <= jobs; ++number)
            records.push_back(accepted(number));
        const double before = heap_bytes();
        job_fold fold;
        const double seconds = median_seconds(1, [&] {
            std::uint64_t offset = 0;
            for (const std::string& record : records)
                fold.apply(log_offset(++offset), record);
        });
        out.add("heap", jobs, heap_bytes() - before, "bytes");
        out.add("fold", jobs, seconds * 1e6, "us");
        for (int number = 1; number <= jobs; ++number)
            fold.apply(log_offset(fold.position().value() + 1), ended(number, jobs));
        out.add("heap_done", jobs, heap_bytes() - before, "bytes");
        const auto done = std::ranges::count_if(
            fold.jobs(), [](const auto& entry) { return entry.second.is_done(); });
        out.add("done", jobs, static_cast<double>(done), "count");
    }
}

namespace figwinch {
namespace {

constexpr std::int64_t core = 1000;

worker_index index_of(int workers) {
    worker_index index;
    for (int number = 0; number < workers; ++number) {
        const resources capacity{.cpu_millis = 16 * core, .memory_mib = 61'440};
        const resources room{.cpu_millis = core * (1 + number % 16), .memory_mib = 61'440};
        index.put({worker_id("worker-" + std::to_string(number)), rack_id("rack"),
                   "host-" + std::to_string(number), capacity, room});
    }
    return index;
}

std::uint64_t place(const worker_index& index, int decisions) {
    std::uint64_t found = 0;
    for (int i = 0; i < decisions; ++i) {
        const resources size{.cpu_millis = core * (1 + i % 8), .memory_mib = 4096};
        found += index.best_fit(size, [](const placement_worker&) { return 0.0; }) ? 1U : 0U;
    }
    return found;
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(capacity_placement) {
    using namespace figwinch;
    constexpr int decisions = 2'000;
    for (const int workers : {19, 38, 76, 152, 304, 608}) {
        const worker_index index = index_of(workers);
        const double seconds = median_seconds(5, [&] { keep(place(index, decisions)); });
        out.add("decision", workers, seconds * 1e6 / decisions, "us");
    }
}
