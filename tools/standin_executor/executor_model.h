#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace figwinch::standin {

struct executor_model_settings {
    std::string name = "executor-1";
    int slots = 8;
    int connections = 64;
    /// Work of a request whose body names none.
    duration default_work = std::chrono::milliseconds(20);
    std::size_t max_remembered = 100'000;
};

/// Faults in force. Counted ones apply to the next so many requests.
struct executor_faults {
    double slow_factor = 1;
    bool refuse = false;
    bool freeze = false;
    bool leaving = false;
    bool down = false;
    int lose_reply = 0;
    int truncate = 0;
    int cross = 0;
};

/// What a stand-in executor does and remembers, without I/O.
class executor_model {
public:
    explicit executor_model(executor_model_settings with) : with_(std::move(with)) {}

    const executor_model_settings& settings() const { return with_; }
    executor_faults& faults() { return faults_; }
    const executor_faults& faults() const { return faults_; }
    int busy() const { return busy_; }
    /// The most that ran at once.
    int max_busy() const { return max_busy_; }
    int runs_of(const std::string& customer, const std::string& request) const;

    /// Takes a slot and counts the run; false when the request is refused before running.
    bool begin(const std::string& customer, const std::string& request);
    void end() { --busy_; }
    /// How long the work named by the request's JSON body takes now.
    duration work_of(const std::string& body) const;
    /// Sets a fault by its name; false when there is none of this name or the body is not JSON.
    bool set_fault(const std::string& name, const std::string& body);
    /// The body of GET /control/state.
    std::string state(int open_connections) const;

private:
    executor_model_settings with_;
    executor_faults faults_;
    int busy_ = 0;
    int max_busy_ = 0;
    std::int64_t total_runs_ = 0;
    std::int64_t refused_ = 0;
    std::map<std::string, int> runs_;
    std::deque<std::string> order_;
};

} // namespace figwinch::standin
