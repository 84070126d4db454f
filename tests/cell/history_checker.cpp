#include "tests/cell/history_checker.h"

namespace figwinch::sim {

template <class Check>
bool history_checker::all_tasks(const std::string& id, const Check& check) {
    const job_spec& spec = world_.checker().jobs.at(id).spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        for (std::uint32_t index = 0; index < spec.steps[step].tasks; ++index)
            if (!check(to_string(task_name{job_id(id), 0, step, index})))
                return false;
    return true;
}

std::string history_checker::find_violation(const std::set<std::string>& accepted) {
    if (!world_.checker().violations.empty())
        return world_.checker().violations.front();
    for (const std::string& id : accepted)
        if (std::string fault = check_job_outcome(id); !fault.empty())
            return fault;
    return "";
}

std::string history_checker::check_job_outcome(const std::string& id) {
    for (std::size_t host = 0; host < world_.hosts(); ++host) {
        const bool lacks_copy = !world_.host(host)->member().has_replica();
        const std::optional<job_entry> answered =
            lacks_copy ? world_.query_job(host, id) : std::nullopt;
        const job_entry* const job = answered ? &*answered : world_.job(host, id);
        if (job == nullptr || !job->spec)
            return "LOST: job " + id + " is unknown at host " + std::to_string(host);
        const bool open = job->phase == job_phase::open && !job->cancel_wanted;
        if (open && !all_service_tasks_run(id) && has_room(id))
            return "STUCK: job " + id + " is open at host " + std::to_string(host) + describe(id);
        if (job->phase == job_phase::succeeded && !all_succeeded(id))
            return "SHOWN: job " + id + " as succeeded before all its tasks have";
        if (job->phase == job_phase::failed && !world_.checker().may_have_failed(id))
            return "SHOWN: job " + id + " as failed without cause" + describe(id);
    }
    return "";
}

/// Whether all steps that a task depends on have succeeded.
bool history_checker::is_ready(const std::string& task) {
    const auto name = parse_task_name(task);
    const job_spec& spec = world_.checker().jobs.at(name->job.str()).spec;
    for (const std::uint32_t earlier : spec.steps.at(name->step).depends_on)
        for (std::uint32_t index = 0; index < spec.steps.at(earlier).tasks; ++index)
            if (!world_.checker().has_succeeded(
                    to_string(task_name{name->job, name->occurrence, earlier, index})))
                return false;
    return true;
}

/// Whether a worker has room for a task of the job that is ready and doesn't run. If there is none,
/// the job isn't stuck: service tasks may occupy all room permanently.
bool history_checker::has_room(const std::string& id) {
    bool room = false;
    all_tasks(id, [&](const std::string& task) {
        if (is_ready(task) && !world_.checker().has_succeeded(task) &&
            !world_.checker().is_running(task))
            room = room || world_.checker().has_room_for(task);
        return true;
    });
    return room;
}

/// Describes each task of a job, with its size and state, and the state of all hosts.
std::string history_checker::describe(const std::string& id) {
    std::string description;
    const job_spec& spec = world_.checker().jobs.at(id).spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        for (std::uint32_t index = 0; index < spec.steps[step].tasks; ++index) {
            const std::string task = to_string(task_name{job_id(id), 0, step, index});
            description += "\n " + task + " " + to_string(spec.steps[step].size) +
                           (spec.steps[step].is_service ? " lasting" : "") +
                           (spec.steps[step].is_best_effort ? " best effort" : "") +
                           (world_.checker().has_succeeded(task) ? " succeeded" : "") +
                           (world_.checker().is_running(task) ? " runs" : "");
            description += world_.checker().events_of(task);
        }
    for (std::size_t host = 0; host < world_.hosts(); ++host) {
        const leader_election& election = world_.host(host)->member().election();
        description += "\nhost " + std::to_string(host) +
                       (election.is_leader() ? " is coordinator" : "") +
                       (election.log_answers() ? "" : " can't reach the log") + ", epoch " +
                       std::to_string(election.epoch().value());
    }
    if (const auto host = world_.coordinator()) {
        const coordinator_view view = world_.host(*host)->member().coordinating()->view();
        for (const job_view& job : view.jobs)
            description += "\n" + job.id.str() + ": " + std::to_string(job.running) +
                           " tasks run, " + std::to_string(job.waiting) + " wait for " +
                           std::string(to_string(job.waits_for));
        for (const worker_view& worker : view.workers)
            description += "\n" + worker.id.str() + " is " + std::string(to_string(worker.status)) +
                           ", the coordinator counts " + to_string(worker.free) + " as free";
    }
    return description + "\n" + world_.checker().describe_free_resources();
}

bool history_checker::all_succeeded(const std::string& id) {
    return all_tasks(id, [this](const auto& task) { return world_.checker().has_succeeded(task); });
}

/// Whether all tasks of a service job run; such a job stays open until it is cancelled.
bool history_checker::all_service_tasks_run(const std::string& id) {
    if (!world_.checker().jobs.at(id).spec.steps.front().is_service)
        return false;
    return all_tasks(id, [this](const auto& task) { return world_.checker().is_running(task); });
}

} // namespace figwinch::sim
