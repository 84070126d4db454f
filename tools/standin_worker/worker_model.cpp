#include "tools/standin_worker/worker_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace figwinch::standin {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view checkpoint_prefix = "done-ms:";
constexpr double failing_share = 0.1;

resources from_pb(const pb::Resources& size) {
    return {size.cpu_millis(), size.memory_mib(), size.accelerators()};
}

void to_pb(const resources& size, pb::Resources& out) {
    out.set_cpu_millis(size.cpu_millis);
    out.set_memory_mib(size.memory_mib);
    out.set_accelerators(size.accelerators);
}

double in_ms(duration span) {
    return static_cast<double>(span.count()) / 1000.0;
}

bool same(const pb::TaskKey& left, const pb::TaskKey& right) {
    return left.task() == right.task() && left.attempt() == right.attempt();
}

} // namespace

std::string make_checkpoint(double done_ms) {
    return std::string(checkpoint_prefix) + std::to_string(std::llround(done_ms));
}

double checkpoint_work(const std::string& token) {
    if (!token.starts_with(checkpoint_prefix))
        return 0;
    std::int64_t value = 0;
    std::from_chars(token.data() + checkpoint_prefix.size(), token.data() + token.size(), value);
    return static_cast<double>(value);
}

worker_model::worker_model(worker_model_settings with, instant now) : with_(std::move(with)) {
    restart(with_.first_epoch, now);
}

void worker_model::restart(std::uint64_t epoch, instant now) {
    epoch_ = epoch;
    holder_.clear();
    lease_until_ = now;
    handled_.clear();
    running_.clear();
    ended_.clear();
    closed_.clear();
    committed_ = {};
}

pb::WorkerReply worker_model::handle(const pb::WorkerCommand& command, instant now) {
    advance(now);
    result_code code = result_code::ok;
    const bool acquiring = command.body_case() == pb::WorkerCommand::kAcquire;
    if (!acquiring)
        code = check_lease(command, now);
    if (code == result_code::ok) {
        switch (command.body_case()) {
        case pb::WorkerCommand::kAcquire:
            code = acquire(command.acquire(), now);
            break;
        case pb::WorkerCommand::kRenew:
            code = renew(command.renew(), now);
            break;
        case pb::WorkerCommand::kRelease:
            holder_.clear();
            break;
        case pb::WorkerCommand::kStart:
            code = start(command.start(), now);
            break;
        case pb::WorkerCommand::kStop:
            code = stop(command.stop());
            break;
        case pb::WorkerCommand::kThrottle:
            code = throttle(command.throttle());
            break;
        default:
            code = result_code::missing_field;
        }
    }
    pb::WorkerReply reply;
    reply.set_code(number(code));
    reply.set_reason(std::string(info(code).meaning));
    reply.set_epoch(epoch_);
    reply.set_holder(holder_);
    reply.set_worker(with_.name.str());
    const duration left = holder_.empty() ? duration{} : lease_until_ - now;
    reply.set_lease_left_ms(std::max<std::int64_t>(0, left.count() / 1000));
    if (code == result_code::ok && (acquiring || command.has_renew()))
        fill_lists(reply);
    return reply;
}

result_code worker_model::check_lease(const pb::WorkerCommand& command, instant now) const {
    if (command.epoch() != epoch_ || command.holder() != holder_ || holder_.empty())
        return result_code::lease_stale_epoch;
    return now < lease_until_ ? result_code::ok : result_code::lease_expired;
}

result_code worker_model::acquire(const pb::AcquireLease& ask, instant now) {
    if (ask.holder() != holder_ && lease_valid(now))
        return result_code::lease_held_by_other;
    epoch_ = std::max(epoch_, ask.known_epoch()) + 1;
    holder_ = ask.holder();
    note_handled(ask.serial(), now);
    extend(milliseconds(ask.duration_ms()), now);
    return result_code::ok;
}

result_code worker_model::renew(const pb::RenewLease& ask, instant now) {
    note_handled(ask.serial(), now);
    extend(milliseconds(ask.duration_ms()), now);
    for (const pb::EndedTask& known : ask.acknowledged()) {
        std::erase_if(ended_,
                      [&known](const pb::EndedTask& one) { return same(one.key(), known.key()); });
    }
    return result_code::ok;
}

void worker_model::note_handled(std::uint64_t serial, instant now) {
    constexpr std::size_t kept = 16;
    handled_.push_back({serial, now});
    if (handled_.size() > kept)
        handled_.pop_front();
}

bool worker_model::is_late(const pb::StartTask& ask, instant now) const {
    if (ask.within_ms() == 0)
        return false;
    const auto handled = std::ranges::find(handled_, ask.after_serial(), &handled_lease::serial);
    return handled == handled_.end() || now > handled->at + milliseconds(ask.within_ms());
}

void worker_model::extend(duration lease, instant now) {
    lease_until_ = now + lease;
    for (auto& [name, one] : running_)
        one.lease_until = now + one.lease;
}

result_code worker_model::start(const pb::StartTask& ask, instant now) {
    const std::string& name = ask.key().task();
    const auto present = running_.find(name);
    if (present != running_.end()) {
        return present->second.attempt == ask.key().attempt() ? result_code::ok
                                                              : result_code::attempt_superseded;
    }
    const auto closed = closed_.find(name);
    if (closed != closed_.end() && ask.key().attempt() <= closed->second)
        return result_code::attempt_superseded;
    if (is_late(ask, now))
        return result_code::start_too_late;
    const resources size = from_pb(ask.size());
    if (with_.admission && !fits(committed_ + size, with_.capacity))
        return result_code::worker_full;

    task one;
    one.attempt = ask.key().attempt();
    one.job_owner = ask.job_owner();
    one.size = size;
    one.customer = ask.customer();
    one.template_name = ask.template_name();
    one.latency_critical = ask.latency_critical();
    one.work_ms = static_cast<double>(ask.work_ms());
    one.done_ms = checkpoint_work(ask.checkpoint());
    one.resumed_ms = one.done_ms;
    one.lease = milliseconds(ask.lease_ms());
    one.lease_until = now + one.lease;
    one.progressed_at = now;
    one.fails = fail_all_;
    running_.emplace(name, std::move(one));
    committed_ += size;
    max_committed_.cpu_millis = std::max(max_committed_.cpu_millis, committed_.cpu_millis);
    max_committed_.memory_mib = std::max(max_committed_.memory_mib, committed_.memory_mib);
    max_committed_.accelerators = std::max(max_committed_.accelerators, committed_.accelerators);
    task_history& history = histories_[name];
    ++history.starts;
    history.attempts.push_back(ask.key().attempt());
    return result_code::ok;
}

result_code worker_model::stop(const pb::StopTask& ask) {
    const auto present = running_.find(ask.key().task());
    if (present != running_.end() && present->second.attempt == ask.key().attempt()) {
        end(ask.key().task(), pb::TASK_END_STOPPED, ask.checkpoint());
        return result_code::ok;
    }
    std::uint64_t& closed = closed_[ask.key().task()];
    if (ask.key().attempt() <= closed)
        return result_code::ok;
    closed = ask.key().attempt();
    pb::EndedTask& note = ended_.emplace_back();
    *note.mutable_key() = ask.key();
    note.set_end(pb::TASK_END_NEVER_STARTED);
    return result_code::ok;
}

result_code worker_model::throttle(const pb::ThrottleTask& ask) {
    const auto present = running_.find(ask.key().task());
    if (present == running_.end() || present->second.attempt != ask.key().attempt())
        return result_code::not_found;
    present->second.throttle_percent = std::clamp(ask.percent(), 1, 100);
    return result_code::ok;
}

void worker_model::advance(instant now) {
    std::vector<std::string> names;
    names.reserve(running_.size());
    for (auto& [name, one] : running_)
        names.push_back(name);
    for (const std::string& name : names) {
        task& one = running_.at(name);
        progress(one, std::min(now, one.lease_until));
        const double goal = one.fails ? one.work_ms * failing_share : one.work_ms;
        if (!one.latency_critical && one.done_ms >= goal)
            end(name, one.fails ? pb::TASK_END_FAILED : pb::TASK_END_FINISHED, false);
        else if (now >= one.lease_until)
            end(name, pb::TASK_END_LEASE_LAPSED, true);
    }
}

void worker_model::progress(task& one, instant now) {
    if (now <= one.progressed_at)
        return;
    const double gained = in_ms(now - one.progressed_at) * one.throttle_percent / 100.0;
    const double before = one.done_ms;
    one.done_ms = one.latency_critical ? before + gained : std::min(one.work_ms, before + gained);
    one.progressed_at = now;
}

void worker_model::end(const std::string& name, pb::TaskEnd how, bool checkpoint) {
    const task& one = running_.at(name);
    pb::EndedTask& report = ended_.emplace_back();
    report.mutable_key()->set_task(name);
    report.mutable_key()->set_attempt(one.attempt);
    report.set_end(how);
    report.set_job_owner(one.job_owner);
    task_history& history = histories_[name];
    history.finished += how == pb::TASK_END_FINISHED ? 1 : 0;
    if (checkpoint) {
        report.set_checkpoint(make_checkpoint(one.done_ms));
        history.checkpoint_ms = std::max(history.checkpoint_ms, std::floor(one.done_ms));
    }
    std::uint64_t& closed = closed_[name];
    closed = std::max(closed, one.attempt);
    history.work_ms += one.done_ms - one.resumed_ms;
    committed_ -= one.size;
    running_.erase(name);
}

void worker_model::fill_lists(pb::WorkerReply& reply) const {
    to_pb(with_.capacity, *reply.mutable_capacity());
    reply.set_report_lag_ms(with_.report_lag.count() / 1000);
    for (const auto& [name, one] : running_) {
        pb::RunningTask& out = *reply.add_running();
        out.mutable_key()->set_task(name);
        out.mutable_key()->set_attempt(one.attempt);
        out.set_job_owner(one.job_owner);
        out.set_customer(one.customer);
        out.set_template_name(one.template_name);
        out.set_latency_critical(one.latency_critical);
        out.set_throttle_percent(one.throttle_percent);
        to_pb(one.size, *out.mutable_size());
        resources used = one.size;
        used.cpu_millis = used.cpu_millis * with_.used_percent / 100;
        used.memory_mib = used.memory_mib * with_.used_percent / 100;
        to_pb(used, *out.mutable_used());
    }
    for (const pb::EndedTask& one : ended_)
        *reply.add_ended() = one;
}

} // namespace figwinch::standin
