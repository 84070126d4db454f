#include "bench/bench_report.h"
#include "figwinch/lease.h"

#include <string>

namespace {

using namespace figwinch;

constexpr int tasks_per_worker = 17;

class silent_listener final : public worker_lease_listener {
public:
    void on_held(const leased_worker&) override {}
    void on_listed(const leased_worker&, instant) override {}
    void on_lost(const leased_worker&) override {}
    void on_found(const leased_worker&, const task_id&, const held_task&) override {}
    void on_ended(const leased_worker&, const pb::EndedTask&) override {}
    void on_gone(const leased_worker&, const task_id&, attempt_number) override {}
    void on_room(const leased_worker&) override {}
    bool may_acknowledge(const pb::EndedTask&) const override { return true; }
};

pb::WorkerReply make_reply() {
    pb::WorkerReply reply;
    reply.set_epoch(7);
    reply.set_holder("scheduler#1");
    reply.mutable_capacity()->set_cpu_millis(16'000);
    reply.mutable_capacity()->set_memory_mib(61'440);
    for (int i = 0; i < tasks_per_worker; ++i) {
        pb::RunningTask& task = *reply.add_running();
        task.mutable_key()->set_task("studio/album-master/" + std::to_string(i));
        task.mutable_key()->set_attempt(1);
        task.set_customer("studio");
        task.set_template_name("stem-archive");
        task.mutable_size()->set_cpu_millis(900);
        task.mutable_size()->set_memory_mib(3'000);
        *task.mutable_used() = task.size();
    }
    return reply;
}

/// One round: what is due is sent, and each answer is parsed and taken in.
std::size_t renew(worker_lease_table& table, const std::string& reply, instant now) {
    const std::vector<worker_command> due = table.due(now);
    for (const worker_command& command : due) {
        pb::WorkerReply parsed;
        parsed.ParseFromString(reply);
        table.on_reply(command.token, parsed, now);
    }
    return due.size();
}

} // namespace

// Time of a renewal with 17 running tasks, memory of a held worker, and bytes on the wire.
FIGWINCH_BENCH(lease_renewal) {
    const std::string reply = make_reply().SerializeAsString();
    out.add("reply", tasks_per_worker, static_cast<double>(reply.size()), "bytes");
    for (const int workers : {20, 76, 1'000, 5'000, 20'000}) {
        const double before = heap_bytes();
        silent_listener listener;
        worker_lease_table table(lease_settings{}, node_id("scheduler"),
                                 incarnation_id("scheduler#1"), listener);
        instant now{std::chrono::hours(1)};
        std::vector<worker_spec> specs(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            specs[static_cast<std::size_t>(i)].name = worker_id("worker-" + std::to_string(i));
        table.set_workers(specs, now);
        table.set_schedulers({node_id("scheduler")}, now);
        renew(table, reply, now);
        out.add("memory", workers, (heap_bytes() - before) / workers, "bytes/worker");
        std::size_t renewals = 0;
        const double seconds = median_seconds(5, [&] {
            now += std::chrono::seconds(5);
            renewals = renew(table, reply, now);
        });
        out.add("renewal", workers, seconds * 1e6 / static_cast<double>(renewals), "us");
    }
}
