#include "tools/load/report.h"

#include <prometheus/summary.h>

#include <chrono>
#include <map>

namespace figwinch::load {
namespace {

constexpr double median = 0.5;
constexpr double tail = 0.99;
constexpr double rank_error = 0.001;

double to_ms(duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Median and p99 of a whole run.
class quantiles {
public:
    void add(double value) {
        summary_.Observe(value);
        ++count_;
    }
    double at(double rank) {
        if (count_ == 0)
            return 0;
        const prometheus::ClientMetric collected = summary_.Collect();
        for (const auto& quantile : collected.summary.quantile) {
            if (quantile.quantile == rank)
                return quantile.value;
        }
        return 0;
    }

private:
    // The window never passes: the summary is of the whole run.
    static constexpr std::chrono::hours window{24};
    prometheus::Summary summary_{{{median, rank_error}, {tail, rank_error}}, window, 1};
    std::size_t count_ = 0;
};

void count_request(pb::LoadSummary& summary, const request_outcome& request) {
    summary.set_requests(summary.requests() + 1);
    switch (request.fate) {
    case request_fate::answered:
        summary.set_answered(summary.answered() + 1);
        return;
    case request_fate::refused:
        summary.set_refused(summary.refused() + 1);
        return;
    case request_fate::wrong_answer:
        summary.set_wrong_answers(summary.wrong_answers() + 1);
        return;
    case request_fate::unknown:
        summary.set_unknown(summary.unknown() + 1);
        return;
    case request_fate::not_sent:
        summary.set_not_sent(summary.not_sent() + 1);
        return;
    }
}

void count_job(pb::LoadSummary& summary, const job_outcome& job) {
    summary.set_jobs(summary.jobs() + 1);
    summary.set_tasks_finished(summary.tasks_finished() + job.tasks_finished);
    summary.set_further_attempts(summary.further_attempts() + job.further_attempts);
    summary.set_work_finished_ms(summary.work_finished_ms() + job.tasks_finished * job.work_ms);
    if (!job.accepted.has_value()) {
        summary.set_jobs_refused(summary.jobs_refused() + 1);
        return;
    }
    summary.set_jobs_accepted(summary.jobs_accepted() + 1);
    if (job.state == "finished")
        summary.set_jobs_finished(summary.jobs_finished() + 1);
    else if (job.state == "failed")
        summary.set_jobs_failed(summary.jobs_failed() + 1);
    else if (job.state == "cancelled")
        summary.set_jobs_cancelled(summary.jobs_cancelled() + 1);
    else
        summary.set_jobs_lost(summary.jobs_lost() + 1);
}

} // namespace

std::string_view to_string(request_fate fate) {
    switch (fate) {
    case request_fate::answered:
        return "answered";
    case request_fate::refused:
        return "refused";
    case request_fate::wrong_answer:
        return "wrong_answer";
    case request_fate::unknown:
        return "unknown";
    case request_fate::not_sent:
        return "not_sent";
    }
    return "unknown";
}

pb::LoadSummary summarise(const std::vector<request_outcome>& requests,
                          const std::vector<job_outcome>& jobs) {
    pb::LoadSummary summary;
    quantiles latency;
    quantiles lateness;
    std::map<std::string, std::int64_t> refusals;
    for (const request_outcome& request : requests) {
        count_request(summary, request);
        lateness.add(to_ms(request.late));
        if (request.fate == request_fate::answered)
            latency.add(to_ms(request.latency));
        if (request.fate == request_fate::refused)
            ++refusals["request " + std::to_string(request.code) + " " + request.code_name +
                       " ran=" + request.ran];
    }
    for (const job_outcome& job : jobs) {
        count_job(summary, job);
        if (job.code != 0)
            ++refusals["job " + std::to_string(job.code) + " " + job.code_name];
    }
    for (const auto& [what, count] : refusals) {
        auto& entry = *summary.add_refusals();
        entry.set_what(what);
        entry.set_count(count);
    }
    summary.set_p50_ms(latency.at(median));
    summary.set_p99_ms(latency.at(tail));
    summary.set_late_send_p99_ms(lateness.at(tail));
    return summary;
}

} // namespace figwinch::load
