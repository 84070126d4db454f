#include "tests/cell/service_downtime_rule.h"

#include "figwinch/cell/record_codec.h"

namespace figwinch::sim {
namespace {

constexpr duration check_period = std::chrono::milliseconds(100);

} // namespace

service_downtime_rule::service_downtime_rule(cell_world& world) : world_(world) {
    world_.fleet().on_start_sent = [this](const std::string& worker, const std::string& task) {
        if (const auto known = tasks_.find(task); known != tasks_.end())
            known->second.last_worker = worker;
    };
    world_.checker().on_batch_start = [this](const std::string& worker) {
        for (auto& [task, state] : tasks_)
            if (state.down_since && fits_on(worker, task))
                state.passed_over = true;
    };
    check_all();
}

void service_downtime_rule::follow(const std::string& job,
                                   std::shared_ptr<std::optional<intake_outcome>> told) {
    submissions_[job] = std::move(told);
    const job_spec& spec = world_.checker().jobs.at(job).spec;
    for (std::uint32_t index = 0; index < spec.steps.front().tasks; ++index)
        tasks_[to_string(task_name{job_id(job), 0, 0, index})];
}

void service_downtime_rule::check_all() {
    const auto acting = world_.newest_leader();
    const bool trouble = has_cell_wide_fault(acting);
    for (auto& [task, state] : tasks_)
        check_task(task, trouble, acting);
    world_.time().after(check_period, [this] { check_all(); });
}

bool service_downtime_rule::is_followed(const std::string& job) const {
    const auto& told = *submissions_.at(job);
    return told && *told == intake_outcome::stored && !cancelled_.contains(job);
}

/// Whether a host shows the job as failed, which may be given up.
bool service_downtime_rule::is_given_up(const std::string& job) {
    if (!world_.checker().may_be_given_up_after_restarts(job))
        return false;
    for (std::size_t host = 0; host < world_.hosts(); ++host) {
        if (world_.host(host) == nullptr)
            continue;
        const job_entry* const entry = world_.job(host, job);
        if (entry != nullptr && entry->phase == job_phase::failed)
            return true;
    }
    return false;
}

void service_downtime_rule::check_task(const std::string& task, bool trouble,
                                       std::optional<std::size_t> acting) {
    task_state& state = tasks_.at(task);
    const bool passed_over = std::exchange(state.passed_over, false);
    const bool in_doubt = !state.last_worker.empty() && !can_reach(acting, state.last_worker);
    const std::string job = parse_task_name(task)->job.str();
    const bool due = is_followed(job) && !world_.checker().is_running(task) && !is_given_up(job);
    if (!due || trouble || in_doubt || !(passed_over || has_room(task, acting))) {
        state.down_since.reset();
        return;
    }
    const instant now = world_.time().now();
    if (!state.down_since)
        state.down_since = now;
    const instant since = std::max(*state.down_since, world_.coordinator_killed_at());
    if (now - since <= max_downtime)
        return;
    world_.checker().report_violation(
        "DOWN", task, "'" + state.last_worker + "', recorded on '" + recorded_worker(task) + "'");
    // Report a violation only once per job.
    cancelled_.insert(job);
}

/// The worker to which a task is assigned according to the log. The coordinator records it before
/// it sends the start order.
std::string service_downtime_rule::recorded_worker(const std::string& task) {
    const auto name = parse_task_name(task);
    const auto& newest = world_.store().of(cell_stream::progress).newest;
    const auto row = newest.find(record_key(record_kind::progress, name->job.str()));
    if (row == newest.end())
        return "";
    const auto progress = decode_progress(row->second.value.value_or(""));
    if (!progress || !progress->occurrences.contains(name->occurrence))
        return "";
    const auto& steps = progress->occurrences.at(name->occurrence).steps;
    return steps.at(name->step).at(name->index).assigned_worker.str();
}

/// Whether a fault excuses the downtime of all tasks. A coordinator needs its process, the workers
/// and the log with its answers, because a service task may move to another worker only while the
/// log confirms the leadership term. Without a coordinator another host has to take over, unless
/// none can.
bool service_downtime_rule::has_cell_wide_fault(std::optional<std::size_t> acting) {
    if (world_.fleet().late_orders > 0 || world_.fleet().lost_answers > 0)
        return true;
    if (!acting)
        return !any_host_can_lead();
    sim_host& host = *world_.host(*acting);
    return host.is_frozen() || host.way_to_log().state != sim_log::way::open ||
           host.way_to_log().lost_answers > 0 || host.way_to_workers().cut;
}

bool service_downtime_rule::any_host_can_lead() {
    for (std::size_t index = 0; index < world_.hosts(); ++index) {
        sim_host* const host = world_.host(index);
        if (host != nullptr && !host->is_frozen() && host->way_to_log().state == sim_log::way::open)
            return true;
    }
    return false;
}

/// Whether the coordinator, or if there is none its successor, can connect to the worker.
bool service_downtime_rule::can_reach(std::optional<std::size_t> acting,
                                      const std::string& worker) {
    if (world_.fleet().workers.at(worker).worker->is_crashed())
        return false;
    if (acting)
        return !world_.host(*acting)->way_to_workers().is_cut(worker);
    return !world_.fleet().workers.at(worker).cut;
}

bool service_downtime_rule::has_room(const std::string& task, std::optional<std::size_t> acting) {
    for (const auto& [worker, capacity] : world_.checker().capacities)
        if (world_.is_listed_ready(worker) && can_reach(acting, worker) && fits_on(worker, task))
            return true;
    return false;
}

bool service_downtime_rule::fits_on(const std::string& worker, const std::string& task) const {
    return fits(world_.checker().step_of(task).size, world_.checker().free_on(worker));
}

} // namespace figwinch::sim
