#include "tools/load/report.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ostr.h>

#include <algorithm>
#include <map>

namespace figwinch::load {
namespace {

constexpr std::int64_t unchecked = -1;

double to_ms(duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}

void check_least(std::vector<std::string>& missed, std::string_view what, double value,
                 double least) {
    if (value < least)
        missed.push_back(fmt::format("{}: {}, stated at least {}", what, value, least));
}

void check_most(std::vector<std::string>& missed, std::string_view what, double value,
                double most) {
    if (most != unchecked && value > most)
        missed.push_back(fmt::format("{}: {}, stated at most {}", what, value, most));
}

void check_equal(std::vector<std::string>& missed, std::string_view what, std::int64_t value,
                 std::int64_t stated) {
    if (value != stated)
        missed.push_back(fmt::format("{}: {}, stated {}", what, value, stated));
}

/// The value at `rank` (0 to 1) of sorted values.
double ranked(const std::vector<double>& sorted, double rank) {
    const auto index = static_cast<std::size_t>(rank * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

std::string polyline(const std::map<std::int64_t, std::vector<double>>& seconds, double rank,
                     const char* colour, double x_step, double y_step, double height) {
    std::string points;
    for (const auto& [second, values] : seconds) {
        const double x = static_cast<double>(second) * x_step;
        const double y = height - ranked(values, rank) * y_step;
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    return fmt::format(R"(<polyline fill="none" stroke="{}" points="{}"/>)", colour, points);
}

} // namespace

std::vector<std::string> compare(const pb::LoadSummary& summary,
                                 const pb::TraceExpectation& expected) {
    std::vector<std::string> missed;
    const auto requests = static_cast<double>(std::max<std::int64_t>(summary.requests(), 1));
    const double share = static_cast<double>(summary.answered()) / requests;
    check_equal(missed, "requests", summary.requests(), expected.requests());
    check_equal(missed, "jobs", summary.jobs(), expected.jobs());
    check_least(missed, "share of requests answered", share, expected.answered_share_at_least());
    check_most(missed, "requests of unknown outcome", static_cast<double>(summary.unknown()),
               static_cast<double>(expected.unknown_at_most()));
    check_most(missed, "wrong answers", static_cast<double>(summary.wrong_answers()),
               static_cast<double>(expected.wrong_answers_at_most()));
    check_most(missed, "p99 in ms", summary.p99_ms(), expected.p99_ms_at_most());
    check_least(missed, "jobs finished", static_cast<double>(summary.jobs_finished()),
                static_cast<double>(expected.jobs_finished_at_least()));
    check_most(missed, "jobs lost", static_cast<double>(summary.jobs_lost()),
               static_cast<double>(expected.jobs_lost_at_most()));
    check_least(missed, "jobs cancelled", static_cast<double>(summary.jobs_cancelled()),
                static_cast<double>(expected.jobs_cancelled_at_least()));
    return missed;
}

void print_summary(std::ostream& out, const pb::LoadSummary& summary) {
    out << fmt::format("requests {}: answered {}, refused {}, unknown {}, not sent {}, "
                       "wrong answers {}\n",
                       summary.requests(), summary.answered(), summary.refused(), summary.unknown(),
                       summary.not_sent(), summary.wrong_answers());
    out << fmt::format("latency of answers from the intended time: p50 {:.1f} ms, p99 {:.1f} ms "
                       "(sent late: p99 {:.1f} ms)\n",
                       summary.p50_ms(), summary.p99_ms(), summary.late_send_p99_ms());
    out << fmt::format("jobs {}: accepted {}, refused {}, finished {}, failed {}, cancelled {}, "
                       "lost {}\n",
                       summary.jobs(), summary.jobs_accepted(), summary.jobs_refused(),
                       summary.jobs_finished(), summary.jobs_failed(), summary.jobs_cancelled(),
                       summary.jobs_lost());
    out << fmt::format("tasks finished {}, attempts beyond the first {}, work finished {:.1f} s\n",
                       summary.tasks_finished(), summary.further_attempts(),
                       static_cast<double>(summary.work_finished_ms()) / 1000);
    for (const auto& refusal : summary.refusals())
        out << fmt::format("refused: {} x{}\n", refusal.what(), refusal.count());
}

void write_csv(std::ostream& out, const std::vector<request_outcome>& requests,
               const std::vector<job_outcome>& jobs) {
    out << "kind,customer,id,at_ms,late_ms,took_ms,fate,code,name,ran,tasks_finished,"
           "further_attempts\n";
    for (const request_outcome& request : requests) {
        out << fmt::format("request,{},{},{:.3f},{:.3f},{:.3f},{},{},{},{},,\n", request.customer,
                           request.id, to_ms(request.intended), to_ms(request.late),
                           to_ms(request.latency), to_string(request.fate), request.code,
                           request.code_name, request.ran);
    }
    for (const job_outcome& job : jobs) {
        const duration took = job.ended.value_or(job.submitted) - job.submitted;
        out << fmt::format("job,{},{},{:.3f},,{:.3f},{},{},{},,{},{}\n", job.customer, job.id,
                           to_ms(job.submitted), to_ms(took), job.state, job.code, job.code_name,
                           job.tasks_finished, job.further_attempts);
    }
}

void write_svg(std::ostream& out, const std::vector<request_outcome>& requests) {
    constexpr double width = 800;
    constexpr double height = 300;
    constexpr double margin = 40;
    std::map<std::int64_t, std::vector<double>> seconds;
    double highest = 1;
    for (const request_outcome& request : requests) {
        if (request.fate != request_fate::answered)
            continue;
        const double latency = to_ms(request.latency);
        highest = std::max(highest, latency);
        seconds[request.intended / std::chrono::seconds(1)].push_back(latency);
    }
    for (auto& [second, values] : seconds)
        std::ranges::sort(values);
    const std::int64_t last =
        seconds.empty() ? 1 : std::max<std::int64_t>(seconds.rbegin()->first, 1);
    const double x_step = width / static_cast<double>(last);
    const double y_step = height / highest;
    out << fmt::format(R"svg(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}">)svg",
                       width + 2 * margin, height + 2 * margin);
    out << fmt::format(R"svg(<g transform="translate({},{})" font-size="12">)svg", margin, margin);
    out << fmt::format(R"svg(<rect width="{}" height="{}" fill="none" stroke="#999"/>)svg", width,
                       height);
    out << polyline(seconds, 0.5, "#2a6", x_step, y_step, height);
    out << polyline(seconds, 0.99, "#c33", x_step, y_step, height);
    out << fmt::format(R"(<text y="-8">latency of answers: p50 green, p99 red; top {:.1f} ms, )"
                       R"(right {} s</text></g></svg>)",
                       highest, last)
        << '\n';
}

} // namespace figwinch::load
