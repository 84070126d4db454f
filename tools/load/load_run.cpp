#include "tools/load/load_run.h"

#include "tools/load/payload.h"
#include "tools/load/refusal.h"

#include <utility>

namespace figwinch::load {
namespace {

// An entry answers at the deadline; a caller that waits no longer would count it as unknown.
constexpr duration patience_after_deadline = std::chrono::seconds(2);
constexpr duration check_every = std::chrono::milliseconds(50);
constexpr int http_ok = 200;

duration trace_time(const pb::TraceLine& line) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(line.at_ms()));
}

} // namespace

load_run::load_run(event_loop& loop, const clock& time, run_settings settings, trace events)
    : loop_(loop), time_(time), settings_(std::move(settings)), events_(std::move(events)),
      entries_(loop, settings_.entries) {
    // Answers refer to their outcome: the vector must not move them.
    requests_.reserve(events_.size());
}

void load_run::start(std::function<void()> done) {
    done_ = std::move(done);
    start_ = time_.now();
    jobs_ = std::make_unique<job_follower>(loop_, time_, entries_, start_);
    checking_ = loop_.every(check_every, [this] { check_end(); });
    send_due();
}

instant load_run::due(const pb::TraceLine& line) const {
    return start_ + trace_time(line);
}

void load_run::send_due() {
    while (next_ < events_.size() && due(events_[next_]) <= time_.now())
        send(events_[next_++]);
    if (next_ == events_.size())
        return;
    sending_ = loop_.after(due(events_[next_]) - time_.now(), [this] { send_due(); });
}

void load_run::send(const pb::TraceLine& line) {
    if (line.kind() == "request")
        send_request(line);
    else if (line.kind() == "job")
        jobs_->submit(line);
    else
        jobs_->cancel(line);
}

void load_run::send_request(const pb::TraceLine& line) {
    http_request request;
    request.method = http_method::post;
    request.path = "/v1/requests/" + line.service();
    request.headers.add("Content-Type", "application/octet-stream");
    request.headers.add("Figwinch-Request-Id", line.id());
    request.headers.add("Figwinch-Customer", line.customer());
    request.headers.add("Figwinch-Deadline-Ms", std::to_string(line.deadline_ms()));
    request.headers.add("Figwinch-Idempotent", line.idempotent() ? "true" : "false");
    request.headers.add("Figwinch-Attempt", "1");
    request.body = payload_of(line);
    request_outcome& outcome = requests_.emplace_back();
    outcome.id = line.id();
    outcome.customer = line.customer();
    outcome.intended = trace_time(line);
    outcome.late = time_.now() - due(line);
    ++open_;
    const duration timeout =
        std::chrono::milliseconds(line.deadline_ms()) + patience_after_deadline;
    entries_.call(std::move(request), timeout, [this, &line, &outcome](const call_result& result) {
        take_answer(line, outcome, result);
        --open_;
    });
}

void load_run::take_answer(const pb::TraceLine& line, request_outcome& outcome,
                           const call_result& result) const {
    outcome.latency = time_.now() - due(line);
    if (result.outcome == call_outcome::not_sent) {
        outcome.fate = request_fate::not_sent;
        return;
    }
    if (result.outcome == call_outcome::unknown) {
        outcome.fate = request_fate::unknown;
        return;
    }
    if (result.response.status == http_ok) {
        const bool is_right = answers(result.response, line);
        outcome.fate = is_right ? request_fate::answered : request_fate::wrong_answer;
        return;
    }
    const pb::Refusal refusal = read_refusal(result.response);
    outcome.fate = request_fate::refused;
    outcome.code = refusal.code();
    outcome.code_name = refusal.name();
    outcome.ran = refusal.ran();
}

void load_run::check_end() {
    const duration last = events_.empty() ? duration::zero() : trace_time(events_.back());
    const bool is_over = time_.now() >= start_ + last + settings_.settle;
    const bool is_done = next_ == events_.size() && open_ == 0 && jobs_->all_ended();
    if (!is_done && !is_over)
        return;
    checking_.reset();
    sending_.reset();
    done_();
}

} // namespace figwinch::load
