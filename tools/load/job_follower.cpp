#include "tools/load/job_follower.h"

#include "jobs.pb.h"
#include "tools/load/refusal.h"
#include "wire.pb.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <set>

namespace figwinch::load {
namespace {

constexpr duration poll_every = std::chrono::milliseconds(250);
// Longer than an entry waits for schedulers.
constexpr duration call_timeout = std::chrono::seconds(8);
constexpr int http_ok = 200;
constexpr int http_created = 201;

std::string job_json(const pb::TraceLine& line) {
    pb::JobSpec spec;
    spec.set_id(line.id());
    spec.set_customer(line.customer());
    spec.set_template_name(line.template_name());
    spec.set_job_class(line.job_class());
    *spec.mutable_size() = line.size();
    spec.set_tasks(line.tasks());
    spec.set_work_ms(line.work_ms());
    spec.set_checkpointable(line.checkpointable());
    spec.set_max_attempts(line.max_attempts());
    *spec.mutable_data_centres() = line.data_centres();
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(spec, &text, options);
    return text;
}

http_request job_request(http_method method, const pb::TraceLine& line, std::string path) {
    http_request request;
    request.method = method;
    request.path = std::move(path);
    request.headers.add("Figwinch-Customer", line.customer());
    return request;
}

bool is_final(const std::string& state) {
    static const std::set<std::string> finals = {"finished", "failed", "cancelled"};
    return finals.contains(state);
}

} // namespace

job_follower::job_follower(event_loop& loop, const clock& time, entry_pool& entries, instant start)
    : loop_(loop), time_(time), entries_(entries), start_(start),
      polling_(loop_.every(poll_every, [this] { poll(); })) {}

duration job_follower::since_start() const {
    return time_.now() - start_;
}

void job_follower::submit(const pb::TraceLine& line) {
    followed& job = jobs_[{line.customer(), line.id()}];
    job.line = line;
    job.outcome.id = line.id();
    job.outcome.customer = line.customer();
    job.outcome.job_class = line.job_class();
    job.outcome.work_ms = line.work_ms();
    job.outcome.submitted = since_start();
    job.outcome.state = "refused";
    send_submission(job);
}

void job_follower::cancel(const pb::TraceLine& line) {
    const auto job = jobs_.find({line.customer(), line.id()});
    if (job != jobs_.end())
        job->second.cancel_wanted = true;
}

void job_follower::poll() {
    for (auto& [key, job] : jobs_) {
        if (!job.open || job.busy)
            continue;
        if (!job.outcome.accepted.has_value())
            send_submission(job);
        else if (job.cancel_wanted)
            send_cancel(job);
        else
            send_query(job);
    }
}

void job_follower::send_submission(followed& job) {
    job.busy = true;
    ++job.outcome.submissions;
    http_request request = job_request(http_method::post, job.line, "/v1/jobs");
    request.body = job_json(job.line);
    entries_.call(std::move(request), call_timeout,
                  [this, &job](const call_result& result) { take_submission(job, result); });
}

void job_follower::take_submission(followed& job, const call_result& result) {
    job.busy = false;
    if (result.outcome != call_outcome::answered)
        return;
    const int status = result.response.status;
    if (status == http_ok || status == http_created) {
        job.outcome.accepted = since_start();
        job.outcome.state = "queued";
        job.outcome.code = 0;
        job.outcome.code_name.clear();
        return;
    }
    const pb::Refusal refusal = read_refusal(result.response);
    job.outcome.code = refusal.code();
    job.outcome.code_name = refusal.name();
    const bool is_for_good = refusal.retry_after_ms() == 0 && refusal.ran() == "no";
    if (!is_for_good)
        return;
    job.open = false;
    job.outcome.ended = since_start();
}

void job_follower::send_query(followed& job) {
    job.busy = true;
    http_request request = job_request(http_method::get, job.line, "/v1/jobs/" + job.line.id());
    entries_.call(std::move(request), call_timeout,
                  [this, &job](const call_result& result) { take_state(job, result); });
}

void job_follower::send_cancel(followed& job) {
    job.busy = true;
    http_request request = job_request(http_method::del, job.line, "/v1/jobs/" + job.line.id());
    entries_.call(std::move(request), call_timeout, [&job](const call_result& result) {
        job.busy = false;
        const bool taken =
            result.outcome == call_outcome::answered && result.response.status == http_ok;
        if (taken)
            job.cancel_wanted = false;
    });
}

void job_follower::take_state(followed& job, const call_result& result) {
    job.busy = false;
    if (result.outcome != call_outcome::answered || result.response.status != http_ok)
        return;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    pb::JobView view;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(result.response.body, &view, options);
    if (!parsed.ok())
        return;
    job.outcome.state = view.state();
    job.outcome.code = view.code();
    job.outcome.tasks_finished = 0;
    job.outcome.further_attempts = 0;
    for (const pb::TaskView& task : view.tasks()) {
        job.outcome.tasks_finished += task.state() == "finished" ? 1 : 0;
        if (task.attempt() > 1)
            job.outcome.further_attempts += static_cast<int>(task.attempt() - 1);
    }
    if (!is_final(view.state()))
        return;
    job.open = false;
    job.outcome.ended = since_start();
}

bool job_follower::all_ended() const {
    return std::ranges::none_of(jobs_, [](const auto& entry) { return entry.second.open; });
}

std::vector<job_outcome> job_follower::outcomes() const {
    std::vector<job_outcome> all;
    all.reserve(jobs_.size());
    for (const auto& [key, job] : jobs_)
        all.push_back(job.outcome);
    return all;
}

} // namespace figwinch::load
