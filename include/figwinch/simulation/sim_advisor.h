#pragma once

#include "figwinch/cell/worker_advisor.h"
#include "figwinch/simulation/sim_time.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace figwinch::sim {

/// Which workers may run the steps of jobs whose id begins with `prefix`, and the tickets issued.
struct sim_policy {
    static constexpr const char* prefix = "adv";
    static constexpr duration validity = std::chrono::seconds(2);

    struct issued {
        std::string ticket;
        instant until{};
    };
    std::set<std::string> good;
    std::map<std::pair<std::string, std::string>, issued> tickets;
    std::uint64_t calls = 0;
    std::size_t most_named = 0;
    /// No call gets an answer.
    bool silent = false;

    /// Whether a worker takes a start of `task` with this ticket.
    bool takes(const std::string& worker, const std::string& task, const std::string& ticket,
               instant now) const {
        if (!task.starts_with(prefix))
            return ticket.empty();
        const auto found = tickets.find({task.substr(0, task.rfind('.')), worker});
        return found != tickets.end() && found->second.ticket == ticket &&
               now < found->second.until;
    }
};

/// One host's way to the advisor.
class sim_advisor final : public worker_advisor {
public:
    sim_advisor(sim_time& time, sim_policy& policy) : time_(time), policy_(policy) {}

    void ask(const std::string& step, const std::vector<worker_id>& workers, duration patience,
             handler done) override {
        ++policy_.calls;
        policy_.most_named = std::max(policy_.most_named, workers.size());
        if (policy_.silent)
            return later(patience, done, std::nullopt);
        worker_advice advice;
        for (const worker_id& worker : workers) {
            if (!policy_.good.contains(worker.str()))
                continue;
            const std::string ticket = "t" + std::to_string(++issued_);
            policy_.tickets[{step, worker.str()}] = {ticket, time_.now() + sim_policy::validity};
            advice.allowed.push_back({worker, ticket});
        }
        later(std::chrono::milliseconds(20), done, advice);
    }
    void kill() { alive_.reset(); }

private:
    void later(duration delay, const handler& done, const std::optional<worker_advice>& advice) {
        time_.after(delay, [alive = std::weak_ptr(alive_), done, advice] {
            if (!alive.expired())
                done(advice);
        });
    }

    sim_time& time_;
    sim_policy& policy_;
    int issued_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
