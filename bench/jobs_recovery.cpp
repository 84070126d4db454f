#include "bench/bench_report.h"
#include "figwinch/jobs.h"
#include "figwinch/placement.h"

#include <string>
#include <vector>

namespace {

constexpr int tasks_per_job = 10;
constexpr int events_per_record = 50;

std::vector<std::string> make_records(int tasks) {
    using namespace figwinch;
    std::vector<std::string> records;
    pb::JobBatch batch;
    const auto flush = [&] {
        batch.set_record_id("owner#1:" + std::to_string(records.size() + 1));
        batch.set_writer("owner#1");
        batch.set_data_centre("mu-north-1");
        records.push_back(batch.SerializeAsString());
        batch.Clear();
    };
    for (int job = 0; job < tasks / tasks_per_job; ++job) {
        pb::JobSpec& spec = *batch.add_events()->mutable_accepted()->mutable_spec();
        spec.set_id("album-master-" + std::to_string(job));
        spec.set_customer("studio-" + std::to_string(job % 790));
        spec.set_template_name("stem-archive");
        spec.set_job_class("normal");
        spec.mutable_size()->set_cpu_millis(1000);
        spec.mutable_size()->set_memory_mib(2048);
        spec.set_tasks(tasks_per_job);
        spec.set_work_ms(600'000);
        if (batch.events_size() >= events_per_record)
            flush();
    }
    flush();
    return records;
}

} // namespace

// Time and memory of a recovery: all jobs are folded from the log, none is done.
FIGWINCH_BENCH(jobs_recovery) {
    using namespace figwinch;
    for (const int tasks : {10'000, 40'000, 100'000, 340'000}) {
        const std::vector<std::string> records = make_records(tasks);
        double bytes = 0;
        const double seconds = median_seconds(5, [&] {
            const double before = heap_bytes();
            job_fold fold;
            for (std::size_t i = 0; i < records.size(); ++i)
                fold.apply(log_offset(i + 1), records[i]);
            bytes = heap_bytes() - before;
            keep(fold.jobs().size());
        });
        out.add("fold", tasks, seconds * 1e3, "ms");
        out.add("memory", tasks, bytes * tasks_per_job / tasks, "bytes/job");
    }
}

// Cost of one cancellation, by jobs queued.
FIGWINCH_BENCH(jobs_cancellation) {
    using namespace figwinch;
    constexpr int cancelled = 100;
    for (const int queued : {100, 1'000, 10'000, 100'000}) {
        std::vector<double> runs;
        for (int run = 0; run < 5; ++run) {
            job_queue queue;
            std::vector<job_key> keys;
            for (int i = 0; i < queued; ++i) {
                keys.push_back(make_job_key("studio", "job-" + std::to_string(i)));
                queue.add(keys.back(), customer_id("studio"), work_class::normal,
                          static_cast<std::uint64_t>(i));
            }
            runs.push_back(median_seconds(1, [&] {
                for (int i = 0; i < cancelled; ++i)
                    queue.remove(keys[static_cast<std::size_t>(i) *
                                      static_cast<std::size_t>(queued / cancelled)]);
            }));
        }
        out.add("cancel", queued, median(runs) * 1e6 / cancelled, "us");
    }
}
