#include "ctl/cell_page.h"

#include "cell.pb.h"

#include <google/protobuf/util/json_util.h>
#include <spdlog/fmt/fmt.h>

#include <map>

namespace figwinch {
namespace {

constexpr const char* status_path = "/cell";
constexpr int status_ok = 200;

/// How many workers stand how, and what room those have that are usable.
std::string format_workers(const pb::CellView& cell) {
    std::map<std::string, int> standings;
    std::int64_t free_cpu_millis = 0;
    for (const pb::CellWorkerView& worker : cell.workers()) {
        ++standings[worker.standing()];
        free_cpu_millis += worker.standing() == "usable" ? worker.free_cpu_millis() : 0;
    }
    std::string text = fmt::format("workers      {}\n", cell.workers_size());
    for (const auto& [standing, count] : standings)
        text += fmt::format("  {:<18} {}\n", standing, count);
    text +=
        fmt::format("  free processors    {:.1f}\n", static_cast<double>(free_cpu_millis) / 1000);
    return text;
}

std::string format_jobs(const pb::CellView& cell) {
    std::string text = fmt::format(
        "open jobs    {}\n", static_cast<std::uint64_t>(cell.jobs_size()) + cell.jobs_left_out());
    if (cell.jobs_size() > 0)
        text += fmt::format("  {:<18} {:<12} {:>4} {:>8} {:>8} {:>8}  {}\n", "job", "queue", "prio",
                            "running", "waiting", "age s", "waits for");
    for (const pb::CellJobView& job : cell.jobs())
        text += fmt::format("  {:<18} {:<12} {:>4} {:>8} {:>8} {:>8.1f}  {}\n", job.id(),
                            job.queue(), job.priority(), job.running(), job.waiting(),
                            job.known_for_s(), job.waits_for());
    return text;
}

ctl_report unreachable(const endpoint& host, const std::string& reason) {
    return {exit_code::unavailable, to_string(host) + " can't be asked: " + reason + "\n"};
}

} // namespace

std::optional<std::string> format_cell(const std::string& json) {
    pb::CellView cell;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(json, &cell, options).ok() ||
        cell.node().empty())
        return std::nullopt;
    std::string text = fmt::format("host         {}\n", cell.node());
    text += fmt::format("coordinator  {} (epoch {}){}\n",
                        cell.coordinator().empty() ? "none" : cell.coordinator(), cell.epoch(),
                        cell.leads() ? ", this host" : "");
    text += fmt::format("log          {}\n", cell.log_answers() ? "answers" : "silent");
    text += fmt::format("config       version {}\n", cell.config_version());
    text += fmt::format("jobs known   {}\n", cell.jobs_known());
    if (!cell.leads())
        return text + "workers and open jobs are known to the coordinator: ask it\n";
    return text + format_workers(cell) + format_jobs(cell);
}

ctl_report show_cell(const endpoint& host, duration limit, report_form form) {
    event_loop loop;
    const auto client = http_client::create(loop, host, 1);
    http_request request;
    request.path = status_path;
    request.headers.add("Host", to_string(host));
    call_result result;
    client->call(std::move(request), limit, [&](call_result end) {
        result = std::move(end);
        loop.stop();
    });
    loop.run();
    if (result.outcome != call_outcome::answered)
        return unreachable(host, result.reason);
    if (result.response.status != status_ok)
        return unreachable(host, "status " + std::to_string(result.response.status));
    const std::optional<std::string> page = format_cell(result.response.body);
    if (!page)
        return unreachable(host, "the answer is no status of a cell");
    const bool as_json = form == report_form::json;
    return {exit_code::done, as_json ? result.response.body + "\n" : *page};
}

} // namespace figwinch
