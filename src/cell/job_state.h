#pragma once

#include "cell/slowdown_model.h"
#include "cell/step_advice.h"
#include "cell/task_state.h"
#include "cell/waiting_jobs.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_fingerprints.h"

#include <map>
#include <memory>
#include <vector>

namespace figwinch {

struct occurrence_state;

/// State of one step of an occurrence. Owned by its occurrence.
struct step_state {
    const step_spec* spec = nullptr;
    image_number image = 0;
    occurrence_state* occurrence = nullptr;
    std::uint32_t number = 0;
    std::vector<task_state> tasks;
    /// Tasks of the step that have not succeeded yet.
    std::uint32_t unfinished = 0;
    /// Tasks of the step that are assigned to a worker.
    std::uint32_t assigned = 0;
    /// Being placed for an overdue job, throttled and without regard to harm.
    bool is_overdue = false;
    /// All steps that this step depends on have succeeded.
    bool ready = false;
    step_advice advice;
    /// Of a gang: consecutive runs that ended because a member could not be started, and the last
    /// of these runs.
    std::uint32_t gang_failures = 0;
    run_number failed_gang_run;
    /// Run times of the first successful runs, without the time lost to throttling.
    std::vector<duration> run_times;
};

/// One pass over the steps of a job; a recurring job has several. Owned by its job.
struct occurrence_state {
    std::uint32_t number = 0;
    std::vector<step_state> steps;
    std::uint32_t unfinished_steps = 0;
};

/// The coordinator's state of a job.
struct job_state {
    job_id id;
    std::shared_ptr<const job_spec> spec;
    /// From the queue's current configuration; as accepted with the job if the queue no longer
    /// exists.
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    std::optional<advisor_settings> advice;
    std::map<std::uint32_t, std::unique_ptr<occurrence_state>> occurrences;
    /// Occurrences below `occurrences_ended` have ended; those from `occurrences_made` on are not
    /// due.
    std::uint32_t occurrences_ended = 0;
    std::uint32_t occurrences_made = 0;
    bool begun = false;
    job_phase phase = job_phase::open;
    /// Workers on which runs of the job may be, other than of tasks with their own record
    /// (`job_entry::ordered_to`), and those of them that the log has.
    worker_fingerprints ordered_to;
    worker_fingerprints recorded_to;
    /// `ordered_to` has changed since it was last written.
    bool ordered_to_changed = false;
    /// The job had started, but its records name no worker: a version that did not record workers
    /// wrote them, so any worker may have its runs.
    bool may_run_on_any_worker = false;
    /// The job's progress has changed since it was last written.
    bool dirty = false;
    /// Offset in the intake stream: jobs that are otherwise equal are served in the order of
    /// acceptance.
    std::uint64_t intake_offset = 0;
    /// When the job was submitted; if it does not tell, when this coordinator first read it.
    instant submitted_at{};
    /// When callers want the job done, by the submitter's run time estimates.
    instant objective_at{};
    /// Latest result of `estimate_job`; the remaining work is in core-seconds.
    job_prospect prospect = job_prospect::in_time;
    double work_left = 0;
    /// When `prospect` may change if nothing happens to the job.
    instant prospect_until = instant::max();
    instant ended_at{};
    /// Tasks that are assigned to a worker, and those of them that are not throttled starts.
    std::uint32_t assigned = 0;
    std::uint32_t usual_runs = 0;
    /// When the job last had a run that is not a throttled start, or was first read.
    instant last_usual_run_at{};
    /// Since when the job has had batch tasks to start, or when one of them was last started.
    instant waiting_since{};
    /// Not before this time is the job started again as an overdue one.
    instant next_overdue_try{};
    /// When it was last started as an overdue job.
    instant last_overdue_start_at{};
    queue_positions positions;
    /// `positions` may be out of date.
    bool requeue_due = false;
    /// A predecessor may have started tasks of the job.
    bool may_have_earlier_runs = false;

    std::uint32_t occurrence_count() const { return spec->repeats == 0 ? 1 : spec->repeats; }
};

} // namespace figwinch
