#include "tools/standin_executor/executor_model.h"

#include "tools/standin_executor/json_text.h"

#include <algorithm>
#include <cmath>

namespace figwinch::standin {

bool executor_model::begin(const std::string& customer, const std::string& request) {
    if (faults_.refuse || busy_ >= with_.slots) {
        ++refused_;
        return false;
    }
    ++busy_;
    max_busy_ = std::max(max_busy_, busy_);
    ++total_runs_;
    const std::string key = customer + "/" + request;
    if (++runs_[key] == 1)
        order_.push_back(key);
    if (order_.size() > with_.max_remembered) {
        runs_.erase(order_.front());
        order_.pop_front();
    }
    return true;
}

int executor_model::runs_of(const std::string& customer, const std::string& request) const {
    const auto found = runs_.find(customer + "/" + request);
    return found == runs_.end() ? 0 : found->second;
}

duration executor_model::work_of(const std::string& body) const {
    json_text parsed;
    const auto named = parsed.parse(body) ? parsed.number("work_ms") : std::nullopt;
    const double us = named ? *named * 1000 : double(with_.default_work.count());
    return duration(std::llround(us * faults_.slow_factor));
}

bool executor_model::set_fault(const std::string& name, const std::string& body) {
    json_text with;
    if (!with.parse(body))
        return false;
    const bool on = with.flag("on").value_or(true);
    const int count = static_cast<int>(with.number("count").value_or(1));
    if (name == "slow")
        faults_.slow_factor = with.number("factor").value_or(10);
    else if (name == "refuse")
        faults_.refuse = on;
    else if (name == "freeze")
        faults_.freeze = on;
    else if (name == "leave")
        faults_.leaving = on;
    else if (name == "down")
        faults_.down = on;
    else if (name == "lose_reply")
        faults_.lose_reply = count;
    else if (name == "truncate")
        faults_.truncate = count;
    else if (name == "cross")
        faults_.cross = count;
    else
        return false;
    return true;
}

std::string executor_model::state(int open_connections) const {
    json_text runs;
    for (const auto& [key, count] : runs_)
        runs.set(key, count);
    json_text state;
    state.set("name", with_.name);
    state.set("busy", busy_);
    state.set("max_busy", max_busy_);
    state.set("total_runs", double(total_runs_));
    state.set("refused", double(refused_));
    state.set("connections", open_connections);
    state.set("runs", runs);
    return state.str();
}

} // namespace figwinch::standin
