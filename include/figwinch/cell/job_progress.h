#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Whether a job is still open or how it ended.
enum class job_phase { open, succeeded, failed, cancelled };

/// The enumerator's name, such as "open" or "succeeded", as used in logs and API responses.
const char* to_string(job_phase phase);

/// How strongly the loss of a run with its worker speaks for a crash by that run.
enum class crash_suspicion {
    /// The run had been there for a while, or many workers were lost at the same time.
    weak,
    /// The run had just started, like others on the worker.
    shared,
    /// Only this run had just started.
    sole,
    /// The run had just been ordered, but the worker had neither answered the order nor reported
    /// the run: it may never have started.
    unseen,
};

/// A run that was lost with its worker soon after its start, so that it may have crashed it.
struct crashed_run {
    run_number run;
    /// How long the run had been there at most.
    duration age{};
    crash_suspicion suspicion = crash_suspicion::weak;
    /// Another process has taken the worker's place. Otherwise the worker may only have been out of
    /// reach.
    bool confirmed = false;
};

/// The state of one task that is stored durably, so that the next coordinator can continue the
/// task.
struct task_progress {
    bool done = false;
    /// Numbers of the runs that failed. Stored as numbers instead of a count because a worker may
    /// report an end twice, and a worker that was disconnected may report it after the ends of
    /// later runs. Holds at most `job_spec::attempts` entries.
    std::vector<run_number> failed_runs;
    /// The checkpoint from which the next run resumes. If empty, it starts from the beginning.
    std::string checkpoint;
    /// For service tasks only: the worker assigned to the newest run. It is recorded before the
    /// start order is sent, so no other worker can have a run of the task. Empty if no start was
    /// ever ordered.
    worker_id assigned_worker;
    /// Runs that may have crashed their workers, since a run of the task last proved harmless.
    std::vector<crashed_run> crashed_runs;
    /// The run that was ordered, or was about to be, while `crashed_runs` made the task a suspect.
    /// 0: there is none, or its outcome is known.
    run_number trial_run;
};

/// The progress of one occurrence, that is, of one execution of all steps of a job. `steps` is
/// indexed by step number, then by task index.
struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps;
};

/// The durable execution state of a job.
struct job_progress {
    /// At least one task of the job has been started.
    bool begun = false;
    job_phase phase = job_phase::open;
    /// Occurrences with a lower number have ended and are no longer stored.
    std::uint32_t occurrences_ended = 0;
    std::map<std::uint32_t, occurrence_progress> occurrences;
};

} // namespace figwinch
