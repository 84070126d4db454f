#include "entry/executor_links.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration health_timeout = std::chrono::milliseconds(900);
constexpr duration idle_limit = std::chrono::seconds(10);
/// Connections beyond the slots: for the health check, and one that is being closed.
constexpr int spare_connections = 2;

executor_answer read_answer(const http_response& response) {
    const auto text = [&response](std::string_view name) {
        return std::string(response.headers.find(name).value_or(""));
    };
    executor_answer answer;
    answer.status = response.status;
    answer.request = request_id(text("Figwinch-Request-Id"));
    answer.customer = customer_id(text("Figwinch-Customer"));
    answer.not_run = text("Figwinch-Not-Run") == "1";
    answer.leaving = text("Figwinch-Leaving") == "1";
    return answer;
}

bool says_leaving(const http_response& response) {
    if (read_answer(response).leaving)
        return true;
    google::protobuf::Struct health;
    if (!google::protobuf::util::JsonStringToMessage(response.body, &health).ok())
        return false;
    const auto state = health.fields().find("state");
    return state != health.fields().end() && state->second.string_value() == "leaving";
}

} // namespace

executor_links::executor_links(event_loop& loop, const clock& time, executor_pool& pool)
    : loop_(loop), time_(time), pool_(pool) {}

void executor_links::sync() {
    for (auto& [name, it] : links_)
        it.owned = false;
    for (const executor_spec& spec : pool_.owned()) {
        const auto where = parse_endpoint(spec.address);
        if (!where.has_value())
            continue;
        link& it = links_[spec.name];
        it.owned = true;
        if (it.client != nullptr && (it.spec.address == spec.address || it.open_calls > 0))
            continue;
        it.spec = spec;
        const int connections = std::min(spec.connections, spec.slots + spare_connections);
        it.client = http_client::create(loop_, *where, static_cast<std::size_t>(connections));
    }
    std::erase_if(links_, [](const auto& entry) {
        return !entry.second.owned && entry.second.open_calls == 0;
    });
}

void executor_links::call(const executor_id& name, const http_request& message,
                          const request_id& request, const customer_id& customer, duration timeout,
                          call_handler done) {
    const auto found = links_.find(name);
    if (found == links_.end()) {
        pool_.release(name, dispatch_end::not_sent, duration::zero(), time_.now());
        done(dispatch_end::not_sent, {});
        return;
    }
    ++found->second.open_calls;
    const instant sent = time_.now();
    const auto ended = [this, name, request, customer, sent,
                        done = std::move(done)](const call_result& result) {
        dispatch_end end = dispatch_end::unknown;
        if (result.outcome == call_outcome::not_sent)
            end = dispatch_end::not_sent;
        if (result.outcome == call_outcome::answered) {
            const executor_answer answer = read_answer(result.response);
            end = judge(answer, request, customer);
            if (answer.leaving)
                pool_.note_leaving(name, time_.now());
        }
        pool_.release(name, end, time_.now() - sent, time_.now());
        end_call(name);
        done(end, result.response);
    };
    found->second.client->call(message, timeout, ended);
}

void executor_links::end_call(const executor_id& name) {
    const auto found = links_.find(name);
    if (found != links_.end())
        --found->second.open_calls;
}

void executor_links::check_health() {
    for (auto& [name, it] : links_) {
        if (!it.owned || it.checking)
            continue;
        http_request message;
        message.method = http_method::get;
        message.path = "/v1/health";
        it.checking = true;
        ++it.open_calls;
        it.client->call(message, health_timeout, [this, name = name](const call_result& result) {
            note_checked(name, result);
        });
    }
}

void executor_links::note_checked(const executor_id& name, const call_result& result) {
    end_call(name);
    if (const auto found = links_.find(name); found != links_.end())
        found->second.checking = false;
    const bool answered = result.outcome == call_outcome::answered;
    pool_.note_health(name, answered, answered && says_leaving(result.response), time_.now());
}

void executor_links::close_idle() {
    for (auto& [name, it] : links_)
        it.client->close_idle(idle_limit);
}

} // namespace figwinch
