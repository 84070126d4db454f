#include "cell_host/cell_metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <algorithm>

namespace figwinch {
namespace {

// Histogram bounds in seconds. An append typically takes 6 ms; callers time out after 3 s.
const std::vector<double> acceptance_bounds = {0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3};

} // namespace

cell_metrics::cell_metrics()
    : acceptance_(registry_.histogram("figwinch_cell_acceptance_seconds",
                                      "from a submission's arrival to its acceptance",
                                      acceptance_bounds)) {}

void cell_metrics::observe_acceptance(duration waited) {
    acceptance_.Observe(std::chrono::duration<double>(waited).count());
}

void cell_metrics::set(const std::string& name, std::uint64_t value, const std::string& help) {
    registry_.gauge(name, help).Set(static_cast<double>(value));
}

void cell_metrics::set_ms(const std::string& name, duration span, const std::string& help) {
    set(name, static_cast<std::uint64_t>(std::max(span, duration::zero()).count() / 1000), help);
}

std::string cell_metrics::expose(const cell_member& member, const job_api_counts& front,
                                 const cell_platform& platform) {
    set("figwinch_cell_jobs_accepted", front.accepted, "jobs accepted here since the start");
    set("figwinch_cell_jobs_refused", front.refused, "requests refused here since the start");
    set("figwinch_cell_jobs_in_doubt", front.unknown, "submissions answered 504 here");
    set("figwinch_cell_jobs_cancelled", front.cancelled, "cancellations stored here");
    set("figwinch_cell_log_calls", platform.log_calls(), "calls to the log since the start");
    set("figwinch_cell_order_calls", platform.order_calls(), "calls to workers since the start");
    for (const cell_stream stream : all_streams)
        set_reads(stream, platform.log_reads(stream));
    set("figwinch_cell_links", member.relay_count(),
        "hosts that pass this coordinator's orders on");
    set("figwinch_cell_passed_on", member.relayed_orders(), "orders passed on for coordinators");
    set("figwinch_cell_leads", member.election().is_leader() ? 1 : 0, "1 on the coordinator");
    set("figwinch_cell_epoch", member.election().epoch().value(), "this host's last epoch");
    set("figwinch_cell_log_answers", member.log_answers() ? 1 : 0, "0 while the log is silent");
    set("figwinch_cell_records_unreadable", member.state().unreadable_records(),
        "records of the log that were passed over");
    set("figwinch_cell_has_copy", member.has_replica() ? 1 : 0,
        "1 where this host has a copy of the cell's jobs");
    set("figwinch_cell_questions_answered", member.queries_answered(),
        "questions of hosts without a copy that this one took");
    set("figwinch_cell_jobs_known", member.state().jobs().size(), "jobs that the log keeps");
    set("figwinch_cell_log_lines_lost", log_lines_lost(), "log lines that no reader took in time");
    const bool coordinates = member.coordinating() != nullptr;
    set_ms("figwinch_cell_workers_age_ms", coordinates ? member.workers_age() : duration::zero(),
           "age of what the coordinator knows of workers' notices");
    set_ms("figwinch_cell_operators_age_ms", member.operators_age(),
           "age of what this host knows of operators' changes");
    set_intake(member.writer());
    set_coordinator(member.coordinating() == nullptr ? coordinator_counts{}
                                                     : member.coordinating()->counts());
    return registry_.expose();
}

void cell_metrics::set_reads(cell_stream stream, const stream_reads& reads) {
    const metrics::labels of_stream = {{"stream", to_string(stream)}};
    const auto set_one = [this, &of_stream](const char* name, double value, const char* help) {
        registry_.gauge(name, help, of_stream).Set(value);
    };
    set_one("figwinch_cell_reads", static_cast<double>(reads.calls), "reads since the start");
    set_one("figwinch_cell_read_bytes", static_cast<double>(reads.bytes), "that these brought");
    set_one("figwinch_cell_reads_given_up", static_cast<double>(reads.given_up),
            "reads without a whole answer in time");
    set_one("figwinch_cell_reads_seconds", std::chrono::duration<double>(reads.total_time).count(),
            "what reads took in all, their waits for records included");
}

void cell_metrics::set_intake(const intake_writer& writer) {
    set_ms("figwinch_cell_append_ms", writer.append_latency().latest(),
           "newest append of callers' jobs: its wait in the log and its service");
    set_ms("figwinch_cell_append_usual_ms", writer.append_latency().baseline(),
           "what that takes as a rule");
    set("figwinch_cell_log_slow", writer.append_latency().is_slow() ? 1 : 0,
        "1 while appends take many times what is usual");
    set("figwinch_cell_intake_waiting", writer.waiting(), "callers whose records wait here");
    const intake_counts& counts = writer.counts();
    set("figwinch_cell_intake_appends", counts.appends, "appends of callers' records");
    set("figwinch_cell_intake_records", counts.records, "callers whose records these held");
    set("figwinch_cell_doubts_read", counts.settled_by_read,
        "late appends that were found in the stream");
    set("figwinch_cell_doubts_repeated", counts.settled_by_retry,
        "late appends that were answered when sent again");
    set("figwinch_cell_doubts_handed", counts.settled_by_writer,
        "late appends that the cell's writer settled");
    set("figwinch_cell_intake_handed", counts.handed_over, "callers handed to the cell's writer");
    set("figwinch_cell_doubts_left", counts.left_in_doubt, "callers told that nobody knows");
    set("figwinch_cell_records_rejected", counts.rejected,
        "callers' writes that the log doesn't take, now or later");
}

void cell_metrics::set_coordinator(const coordinator_counts& counts) {
    set("figwinch_cell_open_jobs", counts.open_jobs, "jobs that haven't ended");
    set("figwinch_cell_tasks_running", counts.running, "tasks on workers");
    set("figwinch_cell_workers", counts.workers, "workers known");
    set("figwinch_cell_workers_silent", counts.workers_unresponsive,
        "workers without a report for 2 s");
    set("figwinch_cell_workers_unresolved", counts.workers_unresolved,
        "workers that a predecessor may have given tasks and that haven't reported");
    set("figwinch_cell_starts", counts.starts, "orders to start in this reign");
    set("figwinch_cell_starts_dropped", counts.starts_dropped,
        "orders to start that were dropped unsent in this reign");
    set("figwinch_cell_gang_failures", counts.gang_failures,
        "runs of gangs that ended because a member didn't start, in this reign");
    set("figwinch_cell_stops", counts.stops, "orders to stop in this reign");
    set("figwinch_cell_holds", counts.lease_renewals, "holds in this reign");
    set("figwinch_cell_paces", counts.throttle_orders, "orders on pace in this reign");
    set("figwinch_cell_stragglers", counts.stragglers, "runs moved in this reign");
    set("figwinch_cell_advice_calls", counts.advice_calls, "calls for advice in this reign");
    set("figwinch_cell_placement_rounds", counts.placement_rounds,
        "rounds of starts in this reign");
    set("figwinch_cell_rounds_cut_short", counts.rounds_cut_short,
        "rounds that ended before all waiting tasks were looked at, in this reign");
    set("figwinch_cell_jobs_examined", counts.jobs_examined,
        "jobs looked at by periodic work and placement in this reign");
    set("figwinch_cell_workers_examined", counts.workers_examined,
        "workers looked at by searches for candidates in this reign");
}

} // namespace figwinch
