#pragma once

#include "cell/slowdown_model.h"
#include "cell/step_advice.h"
#include "cell/task_work.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_fingerprints.h"

#include <map>
#include <memory>
#include <vector>

namespace figwinch {

struct occurrence_work;

/// A step of one occurrence. Owned by its occurrence.
struct step_work {
    const step_spec* spec = nullptr;
    image_number image = 0;
    occurrence_work* occurrence = nullptr;
    std::uint32_t number = 0;
    std::vector<task_work> tasks;
    /// Tasks that haven't ended well.
    std::uint32_t left = 0;
    /// Tasks that have a run.
    std::uint32_t placed = 0;
    /// All steps that it depends on have ended well.
    bool ready = false;
    step_advice advice;
    /// What runs that ended well took at full pace, the first ones.
    std::vector<duration> whole_times;
};

/// One pass over the steps of a job. Owned by its job.
struct occurrence_work {
    std::uint32_t number = 0;
    std::vector<step_work> steps;
    std::uint32_t steps_left = 0;
};

/// Whether callers can still have a job when they want it.
enum class job_prospect {
    in_time,
    /// Later, and still of use.
    late,
    lost,
};

/// A job in the coordinator's hands.
struct job_work {
    job_id id;
    std::shared_ptr<const job_spec> spec;
    /// As the configuration in force has them for the job's queue; as accepted when it is gone.
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    std::optional<advisor_settings> advice;
    std::map<std::uint32_t, std::unique_ptr<occurrence_work>> occurrences;
    /// Occurrences below this one have ended; those from `occurrences_made` on aren't due yet.
    std::uint32_t occurrences_ended = 0;
    std::uint32_t occurrences_made = 0;
    bool begun = false;
    job_phase phase = job_phase::open;
    /// Workers to which runs of its short tasks may go (`job_entry::ordered_to`), and those of them
    /// that the log has.
    worker_fingerprints ordered_to;
    worker_fingerprints recorded_to;
    /// `ordered_to` has grown since it was last written.
    bool widened = false;
    /// It had begun when its records named no worker: a version that didn't record them wrote them.
    bool any_worker_in_doubt = false;
    /// Its progress has changed since it was last written.
    bool dirty = false;
    /// Where the log has it: jobs of one priority are served in the order of acceptance.
    std::uint64_t intake_offset = 0;
    /// When it was handed in; when this coordinator came to know it, if the job doesn't tell.
    instant came_at{};
    /// When its callers want it done, by the submitter's guesses of run times.
    instant objective_at{};
    /// As last looked at (`estimate_job`): core-seconds.
    job_prospect prospect = job_prospect::in_time;
    double work_left = 0;
    instant ended_at{};
    /// An earlier coordinator may have started its tasks.
    bool may_run_elsewhere = false;

    std::uint32_t occurrence_count() const { return spec->repeats == 0 ? 1 : spec->repeats; }
};

} // namespace figwinch
