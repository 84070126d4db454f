#include "learning/streak_failure_policy.h"

#include <algorithm>
#include <string_view>

namespace figwinch {
namespace {

constexpr std::size_t max_workers = 20'000;
constexpr std::size_t max_tasks = 50'000;
constexpr std::size_t max_jobs = 10'000;
/// Number of different workers on which a job must fail, without a success in between, to become
/// suspect.
constexpr std::size_t min_workers_for_suspect = 3;
/// Number of failed jobs kept for each worker. Limits `settings::worker_failures` to half of it,
/// since failures of suspect jobs count half.
constexpr std::size_t max_failed_jobs = 16;
/// Number of workers kept for each task. Failures counted on a dropped worker remain in the task's
/// total.
constexpr std::size_t max_workers_per_task = 64;

/// Extracts the job id from a task id of the form `<job>/<index>`.
job_id job_of(const task_id& task) {
    const std::string_view text = task.str();
    return job_id(text.substr(0, text.rfind('/')));
}

} // namespace

std::unique_ptr<failure_policy> failure_policy::create(const settings& with) {
    return std::make_unique<streak_failure_policy>(with);
}

streak_failure_policy::streak_failure_policy(const settings& with)
    : settings_(with), workers_(max_workers), tasks_(max_tasks), jobs_(max_jobs) {
    settings_.worker_failures =
        std::clamp(settings_.worker_failures, 1, static_cast<int>(max_failed_jobs / 2));
}

void streak_failure_policy::record_failure(const worker_id& worker, const task_id& task,
                                           attempt_number attempt, const job_id& job, instant now) {
    // A worker repeats the report of a task's end until it is acknowledged, which requires a write
    // to the log. Without this check, a repeated report of an earlier failure during a trial would
    // count as the outcome of the trial and double the quarantine.
    const task_failures::failure* known = find_failure(task, worker);
    if (known != nullptr && attempt <= known->attempt)
        return;
    worker_record& record = workers_.touch(worker);
    record_task_failure(task, worker, attempt, !record.quarantined);
    if (record_job_failure(job, worker))
        lift_unjustified_quarantines();
    if (record.quarantined) {
        if (record.on_trial)
            handle_trial_failure(record, is_suspect(job), now);
        return;
    }
    if (std::ranges::find(record.failed_jobs, job) == record.failed_jobs.end())
        record.failed_jobs.push_back(job);
    if (record.failed_jobs.size() > max_failed_jobs)
        record.failed_jobs.erase(record.failed_jobs.begin());
    if (!is_quarantine_justified(record))
        return;
    record.quarantine = std::min(settings_.quarantine, settings_.max_quarantine);
    quarantine(worker, record, now);
}

void streak_failure_policy::record_success(const worker_id& worker, const task_id& task,
                                           instant /*now*/) {
    jobs_.erase(job_of(task));
    const worker_record* record = workers_.find(worker);
    if (record == nullptr)
        return;
    // A task started before the worker became faulty may still succeed during the quarantine. Only
    // a success during a trial shows that new tasks can run on the worker.
    if (record->quarantined && !record->on_trial)
        return;
    workers_.erase(worker);
}

bool streak_failure_policy::is_quarantined(const worker_id& worker, instant /*now*/) const {
    const worker_record* record = workers_.find(worker);
    return record != nullptr && record->quarantined;
}

bool streak_failure_policy::can_admit(const worker_id& worker, instant now) const {
    const worker_record* record = workers_.find(worker);
    if (record == nullptr || !record->quarantined)
        return true;
    if (now < record->quarantined_until)
        return false;
    // A trial whose outcome is never reported (its task was cancelled or lost) must not keep the
    // worker in quarantine for ever: another trial may start after one more quarantine time.
    return !record->on_trial || now >= record->trial_until;
}

bool streak_failure_policy::admit(const worker_id& worker, instant now) {
    if (!can_admit(worker, now))
        return false;
    worker_record* record = workers_.find(worker);
    if (record == nullptr || !record->quarantined)
        return true;
    record->on_trial = true;
    record->trial_until = now + record->quarantine;
    return true;
}

int streak_failure_policy::counted_failures(const task_id& task) const {
    const task_failures* failures = tasks_.find(task);
    if (failures == nullptr)
        return 0;
    int sum = failures->counted_on_dropped;
    for (const task_failures::failure& failure : failures->by_worker)
        sum += failure.counted;
    return sum;
}

int streak_failure_policy::failures_on(const task_id& task, const worker_id& worker) const {
    const task_failures::failure* failure = find_failure(task, worker);
    return failure == nullptr ? 0 : failure->failed_attempts;
}

const task_failures::failure* streak_failure_policy::find_failure(const task_id& task,
                                                                  const worker_id& worker) const {
    const task_failures* failures = tasks_.find(task);
    if (failures == nullptr)
        return nullptr;
    const auto found =
        std::ranges::find(failures->by_worker, worker, &task_failures::failure::worker);
    return found == failures->by_worker.end() ? nullptr : &*found;
}

void streak_failure_policy::record_task_failure(const task_id& task, const worker_id& worker,
                                                attempt_number attempt, bool counted) {
    task_failures& known = tasks_.touch(task);
    std::vector<task_failures::failure>& failures = known.by_worker;
    auto same = std::ranges::find(failures, worker, &task_failures::failure::worker);
    if (same == failures.end()) {
        if (failures.size() >= max_workers_per_task) {
            known.counted_on_dropped += failures.front().counted;
            failures.erase(failures.begin());
        }
        same = failures.insert(failures.end(), {worker, attempt});
    }
    same->attempt = attempt;
    ++same->failed_attempts;
    same->counted += counted ? 1 : 0;
}

bool streak_failure_policy::record_job_failure(const job_id& job, const worker_id& worker) {
    std::vector<worker_id>& failed = jobs_.touch(job).failed_on;
    const bool known = std::ranges::find(failed, worker) != failed.end();
    if (known || failed.size() >= min_workers_for_suspect)
        return false;
    failed.push_back(worker);
    return failed.size() == min_workers_for_suspect;
}

bool streak_failure_policy::is_suspect(const job_id& job) const {
    const job_failures* failures = jobs_.find(job);
    return failures != nullptr && failures->failed_on.size() >= min_workers_for_suspect;
}

void streak_failure_policy::handle_trial_failure(worker_record& record, bool job_suspect,
                                                 instant now) {
    record.on_trial = false;
    // A failure of a suspect job is no evidence against the worker: another trial may start at
    // once.
    if (job_suspect)
        return;
    record.quarantine = std::min(record.quarantine * 2, settings_.max_quarantine);
    record.quarantined_until = now + record.quarantine;
}

bool streak_failure_policy::is_quarantine_justified(const worker_record& record) const {
    // A suspect job counts half. At full weight, a few jobs that fail on every worker would
    // quarantine the whole cluster; at no weight, several faulty workers that fail the same jobs
    // would make those jobs suspect, escape quarantine and go on to fail new jobs.
    int weight = 0;
    for (const job_id& job : record.failed_jobs)
        weight += is_suspect(job) ? 1 : 2;
    return weight >= 2 * settings_.worker_failures;
}

void streak_failure_policy::lift_unjustified_quarantines() {
    // Jobs that fail on every worker are not suspect yet when they fail on their first workers, so
    // these may be quarantined. Once the jobs are suspect, quarantines caused by their failures
    // alone are lifted.
    workers_.for_each([this](const worker_id&, worker_record& record) {
        if (record.quarantined && !is_quarantine_justified(record))
            record = worker_record{.failed_jobs = std::move(record.failed_jobs)};
    });
}

void streak_failure_policy::quarantine(const worker_id& worker, worker_record& record,
                                       instant now) {
    record.quarantined = true;
    record.on_trial = false;
    record.quarantined_until = now + record.quarantine;
    uncount_failures(worker);
}

void streak_failure_policy::uncount_failures(const worker_id& worker) {
    tasks_.for_each([&worker](const task_id&, task_failures& failures) {
        for (task_failures::failure& failure : failures.by_worker) {
            if (failure.worker == worker)
                failure.counted = 0;
        }
    });
}

} // namespace figwinch
