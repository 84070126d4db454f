#include "tests/cell/history_judge.h"

namespace figwinch::sim {

template <class Check>
bool history_judge::all_tasks(const std::string& id, const Check& check) {
    const job_spec& spec = world_.watch().jobs.at(id).spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        for (std::uint32_t index = 0; index < spec.steps[step].tasks; ++index)
            if (!check(to_string(task_name{job_id(id), 0, step, index})))
                return false;
    return true;
}

std::string history_judge::judge(const std::set<std::string>& accepted) {
    if (!world_.watch().broken.empty())
        return world_.watch().broken.front();
    for (const std::string& id : accepted)
        if (std::string fault = judge_job(id); !fault.empty())
            return fault;
    return "";
}

std::string history_judge::judge_job(const std::string& id) {
    for (std::size_t host = 0; host < world_.hosts(); ++host) {
        const bool asks = !world_.host(host)->member().has_replica();
        const std::optional<job_entry> asked = asks ? world_.ask(host, id) : std::nullopt;
        const job_entry* const job = asked ? &*asked : world_.job(host, id);
        if (job == nullptr || !job->spec)
            return "LOST " + id + " at host " + std::to_string(host);
        const bool open = job->phase == job_phase::open && !job->cancel_wanted;
        if (open && !all_last(id) && has_room(id))
            return "STUCK " + id + " at host " + std::to_string(host) + tell(id);
        if (job->phase == job_phase::succeeded && !all_ended_well(id))
            return "SHOWN " + id + " as succeeded";
    }
    return "";
}

/// Whether all steps that a task depends on have ended well.
bool history_judge::has_turn(const std::string& task) {
    const auto name = parse_task_name(task);
    const job_spec& spec = world_.watch().jobs.at(name->job.str()).spec;
    for (const std::uint32_t earlier : spec.steps.at(name->step).after)
        for (std::uint32_t index = 0; index < spec.steps.at(earlier).tasks; ++index)
            if (!world_.watch().ended_well(
                    to_string(task_name{name->job, name->occurrence, earlier, index})))
                return false;
    return true;
}

/// Whether a worker could take one of the job's tasks whose turn has come and that don't run.
/// Lasting tasks may have taken all room for good: then nothing is stuck.
bool history_judge::has_room(const std::string& id) {
    bool room = false;
    all_tasks(id, [&](const std::string& task) {
        if (has_turn(task) && !world_.watch().ended_well(task) && !world_.watch().runs(task))
            room = room || world_.watch().has_room_for(task);
        return true;
    });
    return room;
}

/// What every task of a job asked for and what became of it.
std::string history_judge::tell(const std::string& id) {
    std::string story;
    const job_spec& spec = world_.watch().jobs.at(id).spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        for (std::uint32_t index = 0; index < spec.steps[step].tasks; ++index) {
            const std::string task = to_string(task_name{job_id(id), 0, step, index});
            story += "\n " + task + " " + to_string(spec.steps[step].size) +
                     (spec.steps[step].lasting ? " lasting" : "") +
                     (world_.watch().ended_well(task) ? " ended well" : "") +
                     (world_.watch().runs(task) ? " runs" : "");
            story += world_.watch().story_of(task);
        }
    for (std::size_t host = 0; host < world_.hosts(); ++host) {
        const reign& election = world_.host(host)->member().election();
        story += "\nhost " + std::to_string(host) + (election.leads() ? " leads" : "") +
                 (election.log_answers() ? "" : " without the log") + ", epoch " +
                 std::to_string(election.epoch().value());
    }
    return story + "\n" + world_.watch().rooms();
}

bool history_judge::all_ended_well(const std::string& id) {
    return all_tasks(id, [this](const auto& task) { return world_.watch().ended_well(task); });
}

/// A job that lasts stays open; all its tasks have to be at work.
bool history_judge::all_last(const std::string& id) {
    if (!world_.watch().jobs.at(id).spec.steps.front().lasting)
        return false;
    return all_tasks(id, [this](const auto& task) { return world_.watch().runs(task); });
}

} // namespace figwinch::sim
