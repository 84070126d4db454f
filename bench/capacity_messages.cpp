// Bytes of the messages between processes, and to workers and the log, as protobuf puts them on the
// wire, without the headers of ZeroMQ, HTTP, TCP and IP.

#include "bench/bench_report.h"
#include "envelope.pb.h"
#include "jobs.pb.h"
#include "wire.pb.h"
#include "worker.pb.h"

namespace figwinch {
namespace {

constexpr const char* incarnation = "mu-north-1-s3#4f2a9c01d2e3";

double bytes(const google::protobuf::MessageLite& message) {
    return static_cast<double>(message.ByteSizeLong());
}

double envelope_bytes() {
    pb::Envelope envelope;
    envelope.set_protocol(1);
    envelope.set_correlation(1'000'000);
    envelope.set_sender(incarnation);
    envelope.set_lifetime_ms(1000);
    envelope.set_sent_us(86'400'000'000);
    return bytes(envelope);
}

void fill(pb::MemberInfo& info) {
    info.set_node("mu-north-1-s3");
    info.set_incarnation(incarnation);
    info.set_role("scheduler");
    info.set_data_centre("mu-north-1");
    info.set_address("10.20.30.40:17402");
}

pb::Heartbeat heartbeat() {
    pb::Heartbeat beat;
    fill(*beat.mutable_self());
    beat.set_config_version(48'000);
    beat.set_config_age_ms(150);
    beat.set_free_slots(12);
    beat.set_queued(3);
    return beat;
}

/// One question and its answer.
double heartbeat_exchange() {
    pb::PeerRequest request;
    request.set_protocol(1);
    *request.mutable_heartbeat() = heartbeat();
    pb::PeerReply reply;
    *reply.mutable_heartbeat() = heartbeat();
    return bytes(request) + bytes(reply) + 2 * envelope_bytes();
}

double claim_exchange() {
    pb::PeerRequest request;
    request.set_protocol(1);
    request.mutable_claim()->set_customer("studio-a");
    request.mutable_claim()->set_request_id("3f2a9c01-d2e3-4c5d-8e9f");
    request.mutable_claim()->set_claimant(incarnation);
    pb::PeerReply reply;
    reply.mutable_claim()->set_granted(true);
    return bytes(request) + bytes(reply) + 2 * envelope_bytes();
}

/// Renewal of a worker's lease, which is answered with the list of its tasks.
double renewal_exchange(int tasks) {
    pb::WorkerCommand command;
    command.set_epoch(1'700'000'000'000);
    command.set_holder(incarnation);
    command.mutable_renew()->set_holder(incarnation);
    command.mutable_renew()->set_epoch(1'700'000'000'000);
    command.mutable_renew()->set_duration_ms(15'000);
    pb::WorkerReply reply;
    reply.set_epoch(1'700'000'000'000);
    reply.set_holder(incarnation);
    reply.set_worker("worker-mu-north-1-0042");
    for (int task = 0; task < tasks; ++task) {
        pb::RunningTask& running = *reply.add_running();
        running.mutable_key()->set_task("studio-a/album-2026-12-03/" + std::to_string(task));
        running.mutable_key()->set_attempt(1000);
        running.set_job_owner(incarnation);
        running.mutable_size()->set_cpu_millis(1000);
        running.mutable_size()->set_memory_mib(4096);
        running.set_customer("studio-a");
        running.set_template_name("stem-render");
        running.set_throttle_percent(100);
        running.mutable_used()->set_cpu_millis(900);
        running.mutable_used()->set_memory_mib(3500);
    }
    return bytes(command) + bytes(reply);
}

pb::JobBatch batch(int jobs) {
    pb::JobBatch batch;
    batch.set_record_id(std::string(incarnation) + ":123456");
    batch.set_writer(incarnation);
    for (int job = 0; job < jobs; ++job) {
        pb::JobSpec& spec = *batch.add_events()->mutable_accepted()->mutable_spec();
        spec.set_id("album-2026-12-03-" + std::to_string(job));
        spec.set_customer("studio-a");
        spec.set_template_name("stem-render");
        spec.set_job_class("normal");
        spec.mutable_size()->set_cpu_millis(1000);
        spec.mutable_size()->set_memory_mib(4096);
        spec.set_tasks(10);
        spec.set_work_ms(600'000);
    }
    return batch;
}

pb::JobBatch ended_batch(int tasks) {
    pb::JobBatch batch;
    batch.set_record_id(std::string(incarnation) + ":123456");
    batch.set_writer(incarnation);
    for (int task = 0; task < tasks; ++task) {
        pb::TaskEnded& ended = *batch.add_events()->mutable_ended();
        ended.set_job("album-2026-12-03-1234");
        ended.set_customer("studio-a");
        ended.set_task_index(task);
        ended.set_attempt(1'000'000);
        ended.set_end(pb::TASK_END_FINISHED);
        ended.set_worker("worker-mu-north-1-0042");
        ended.set_final(true);
    }
    return batch;
}

/// What an entry says of the executors that it saw, to one scheduler.
double latency_report(int executors) {
    pb::PeerRequest request;
    request.set_protocol(1);
    for (int number = 0; number < executors; ++number) {
        pb::LatencyReport::Executor& one = *request.mutable_latency()->add_executors();
        one.set_name("executor-mu-north-1-" + std::to_string(number));
        one.set_p99_us(80'000);
        one.set_samples(200);
        one.set_target_us(100'000);
    }
    return bytes(request) + 2 * envelope_bytes();
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(capacity_messages) {
    using namespace figwinch;
    for (const int peers : {12, 24, 48, 96, 192, 528})
        out.add("heartbeats_a_round", peers, (peers - 1) * heartbeat_exchange(), "bytes");
    for (const int entries : {3, 6, 12, 24})
        out.add("claims_a_request", entries, (entries - 1) * claim_exchange(), "bytes");
    for (const int tasks : {5, 10, 20, 40})
        out.add("renewal", tasks, renewal_exchange(tasks), "bytes");
    for (const int jobs : {1, 10, 100, 1000})
        out.add("job_batch", jobs, bytes(batch(jobs)), "bytes");
    for (const int tasks : {1, 10, 100, 1000})
        out.add("ended_batch", tasks, bytes(ended_batch(tasks)), "bytes");
    for (const int executors : {1, 3, 10, 30})
        out.add("latency_report", executors, latency_report(executors), "bytes");
}
