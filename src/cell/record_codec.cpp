#include "figwinch/cell/record_codec.h"

#include "cell.pb.h"

#include <algorithm>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t bits_per_byte = 8;

std::int64_t in_ms(duration span) {
    return std::chrono::duration_cast<milliseconds>(span).count();
}

void write_step(const step_spec& step, pb::StepRecord& record) {
    record.set_tasks(step.tasks);
    record.set_cpu_millis(step.size.cpu_millis);
    record.set_memory_mib(step.size.memory_mib);
    record.set_accelerators(step.size.accelerators);
    record.set_estimate_ms(in_ms(step.estimate));
    record.mutable_after()->Add(step.depends_on.begin(), step.depends_on.end());
    record.set_gang(step.gang);
    record.set_one_rack(step.one_rack);
    record.set_checkpoints(step.saves_checkpoints);
    record.set_copies_allowed(step.copies_allowed);
    record.set_lasting(step.is_service);
    record.set_filling(step.is_best_effort);
    record.set_label(step.label);
    record.set_near_rack(step.preferred_rack.str());
    record.set_image(step.image);
    record.set_most_per_worker(step.max_per_worker);
    record.set_tail_target_ms(in_ms(step.latency_target));
    record.set_may_miss(step.disruption_budget);
}

step_spec read_step(const pb::StepRecord& record) {
    step_spec step;
    step.tasks = record.tasks();
    step.size = {record.cpu_millis(), record.memory_mib(), record.accelerators()};
    step.estimate = milliseconds(record.estimate_ms());
    step.depends_on.assign(record.after().begin(), record.after().end());
    step.gang = record.gang();
    step.one_rack = record.one_rack();
    step.saves_checkpoints = record.checkpoints();
    step.copies_allowed = record.copies_allowed();
    step.is_service = record.lasting();
    step.is_best_effort = record.filling();
    step.label = record.label();
    step.preferred_rack = rack_id(record.near_rack());
    step.image = record.image();
    step.max_per_worker = record.most_per_worker();
    step.latency_target = milliseconds(record.tail_target_ms());
    step.disruption_budget = record.may_miss();
    return step;
}

void write_crashes(const task_progress& task, pb::TaskRecord& record) {
    for (const crashed_run& crash : task.crashed_runs) {
        pb::CrashedRunRecord& kept = *record.add_crashed_runs();
        kept.set_run(crash.run.value());
        kept.set_age_ms(static_cast<std::uint32_t>(in_ms(crash.age)));
        kept.set_suspicion(static_cast<pb::CrashSuspicion>(crash.suspicion));
        kept.set_confirmed(crash.confirmed);
    }
    record.set_trial_run(task.trial_run.value());
}

void read_crashes(const pb::TaskRecord& record, task_progress& task) {
    for (const pb::CrashedRunRecord& kept : record.crashed_runs())
        task.crashed_runs.push_back({run_number(kept.run()), milliseconds(kept.age_ms()),
                                     static_cast<crash_suspicion>(kept.suspicion()),
                                     kept.confirmed()});
    task.trial_run = run_number(record.trial_run());
}

bool is_empty(const task_progress& task) {
    return task.failed_runs.empty() && task.checkpoint.empty() && task.assigned_worker.empty() &&
           task.crashed_runs.empty() && task.trial_run == run_number();
}

void write_tasks(const std::vector<task_progress>& tasks, pb::StepProgressRecord& record) {
    std::string done((tasks.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const task_progress& task = tasks[index];
        if (task.done) {
            const auto bit = static_cast<char>(1U << (index % bits_per_byte));
            done[index / bits_per_byte] = static_cast<char>(done[index / bits_per_byte] | bit);
            continue;
        }
        if (is_empty(task))
            continue;
        pb::TaskRecord& kept = *record.add_tasks();
        kept.set_index(index);
        for (const run_number run : task.failed_runs)
            kept.add_failed_runs(run.value());
        kept.set_checkpoint(task.checkpoint);
        kept.set_ordered_to(task.assigned_worker.str());
        write_crashes(task, kept);
    }
    record.set_done(std::move(done));
}

std::vector<task_progress> read_tasks(const pb::StepProgressRecord& record) {
    const std::string& done = record.done();
    std::vector<task_progress> tasks(done.size() * bits_per_byte);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto byte = static_cast<unsigned char>(done[index / bits_per_byte]);
        tasks[index].done = ((byte >> (index % bits_per_byte)) & 1U) != 0;
    }
    for (const pb::TaskRecord& kept : record.tasks()) {
        if (kept.index() >= tasks.size())
            continue;
        task_progress& task = tasks[kept.index()];
        for (const std::uint64_t run : kept.failed_runs())
            task.failed_runs.emplace_back(run);
        task.checkpoint = kept.checkpoint();
        task.assigned_worker = worker_id(kept.ordered_to());
        read_crashes(kept, task);
    }
    return tasks;
}

template <class Record>
std::string encode(Record& record) {
    record.set_format(record_format_version);
    return record.SerializeAsString();
}

template <class Record>
std::optional<Record> parse(std::string_view bytes) {
    Record record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return record;
}

} // namespace

std::string record_key(record_kind kind, std::string_view id) {
    std::string key(1, static_cast<char>(kind));
    key += id;
    return key;
}

std::string encode_job(const job_spec& job) {
    pb::JobRecord record;
    record.set_queue(job.queue.str());
    record.set_payload(job.payload);
    for (const step_spec& step : job.steps)
        write_step(step, *record.add_steps());
    record.set_repeats(job.repeats);
    record.set_first_ms(job.first_due_ms);
    record.set_interval_ms(job.interval_ms);
    record.set_service(job.service.str());
    record.set_priority(job.priority);
    record.set_attempts(job.attempts);
    record.set_stretch(job.stretch);
    record.set_target_ms(in_ms(job.target));
    record.set_accepted_ms(job.accepted_at.time_since_epoch().count());
    return encode(record);
}

std::optional<job_spec> decode_job(std::string_view bytes) {
    const auto record = parse<pb::JobRecord>(bytes);
    if (!record)
        return std::nullopt;
    job_spec job;
    job.queue = queue_name(record->queue());
    job.payload = record->payload();
    for (const pb::StepRecord& step : record->steps())
        job.steps.push_back(read_step(step));
    job.repeats = record->repeats();
    job.first_due_ms = record->first_ms();
    job.interval_ms = record->interval_ms();
    job.service = service_id(record->service());
    job.priority = record->priority();
    job.attempts = std::max(1U, record->attempts());
    job.stretch = record->stretch();
    job.target = milliseconds(record->target_ms());
    job.accepted_at = wall_time(milliseconds(record->accepted_ms()));
    if (!validate_job(job).ok())
        return std::nullopt;
    return job;
}

std::string encode_progress(const job_progress& progress) {
    pb::ProgressRecord record;
    record.set_begun(progress.begun);
    record.set_phase(static_cast<pb::JobPhase>(progress.phase));
    record.set_occurrences_ended(progress.occurrences_ended);
    for (const auto& [number, occurrence] : progress.occurrences) {
        pb::OccurrenceRecord& kept = *record.add_occurrences();
        kept.set_number(number);
        for (const std::vector<task_progress>& tasks : occurrence.steps)
            write_tasks(tasks, *kept.add_steps());
    }
    return encode(record);
}

std::optional<job_progress> decode_progress(std::string_view bytes) {
    const auto record = parse<pb::ProgressRecord>(bytes);
    if (!record)
        return std::nullopt;
    job_progress progress;
    progress.begun = record->begun();
    progress.phase = static_cast<job_phase>(record->phase());
    progress.occurrences_ended = record->occurrences_ended();
    for (const pb::OccurrenceRecord& kept : record->occurrences()) {
        occurrence_progress& occurrence = progress.occurrences[kept.number()];
        for (const pb::StepProgressRecord& step : kept.steps())
            occurrence.steps.push_back(read_tasks(step));
    }
    return progress;
}

std::string encode_worker(const worker_entry& worker) {
    pb::WorkerRecord record;
    record.set_born_ms(worker.incarnation);
    record.set_silent(worker.unresponsive);
    record.set_lease_over(worker.lease_expired);
    return encode(record);
}

std::optional<worker_entry> decode_worker(std::string_view bytes) {
    const auto record = parse<pb::WorkerRecord>(bytes);
    if (!record)
        return std::nullopt;
    return worker_entry{record->born_ms(), record->silent(), record->lease_over()};
}

std::string encode_election_record(const election_record& election) {
    pb::ReignRecord record;
    record.set_kind(static_cast<pb::ReignRecord::Kind>(election.type));
    record.set_holder(election.holder.str());
    record.set_bus_address(election.bus_address);
    record.set_outstanding(election.outstanding);
    return record.SerializeAsString();
}

std::optional<election_record> decode_election_record(std::string_view bytes) {
    const auto record = parse<pb::ReignRecord>(bytes);
    if (!record || record->holder().empty())
        return std::nullopt;
    election_record election;
    election.type = static_cast<election_record::kind>(record->kind());
    election.holder = incarnation_id(record->holder());
    election.bus_address = record->bus_address();
    election.outstanding = record->outstanding();
    return election;
}

} // namespace figwinch
