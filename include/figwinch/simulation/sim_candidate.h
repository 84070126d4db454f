#pragma once

#include "figwinch/cell.h"
#include "figwinch/simulation/sim_store.h"

#include <memory>

namespace figwinch::sim {

/// A host that stands for the reign, driven every 10 ms.
class candidate {
public:
    candidate(sim_time& time, sim_store& store, const std::string& name, duration modesty = {})
        : time_(time), log(time, store, [] { return 0.5; }),
          election(time.clock(), log, incarnation_id(name), "10.0.0.1:1", times_of(modesty)) {
        schedule();
    }
    ~candidate() { log.kill(); }

private:
    static election_timing times_of(duration modesty) {
        election_timing times;
        times.claim_delay = modesty;
        return times;
    }
    void schedule() {
        time_.after(std::chrono::milliseconds(10), [this, weak = std::weak_ptr(alive_)] {
            if (weak.expired())
                return;
            election.tick();
            schedule();
        });
    }
    sim_time& time_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

public:
    sim_log log;
    leader_election election;
};

} // namespace figwinch::sim
