#pragma once

#include "cell_host/intake_writer.h"
#include "tests/cell/sim_store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figwinch::sim {

/// What a caller was told, and when.
struct told {
    std::optional<intake_outcome> outcome;
    instant at{};
};

/// One host's writer of callers' jobs, with its way to the store and a follower of the stream.
class intake_host {
public:
    intake_host(sim_time& time, sim_store& store, double random = 1)
        : time_(time), log(time, store, [random] { return random; }),
          follower_(time.clock(), log, cell_stream::intake, {{}, std::chrono::seconds(1)},
                    [this](const stored_record& record) { writer.note_read(record); }),
          writer({time.clock(), log,
                  [this](const stored_record& record) { follower_.skip(record); },
                  [this] { return log.state == sim_log::way::open; },
                  [this](const std::function<void(bool)>& done) { follower_.sync(done); }}) {
        schedule();
    }
    ~intake_host() { log.kill(); }

    /// A caller hands in a job and waits for `patience`.
    std::shared_ptr<told> submit(const std::string& job, duration patience) {
        auto answer = std::make_shared<told>();
        writer.write({{"j" + job, "what it is", 0}}, time_.now() + patience,
                     [this, answer](intake_outcome outcome) {
                         answer->outcome = outcome;
                         answer->at = time_.now();
                     });
        return answer;
    }

private:
    void schedule() {
        time_.after(std::chrono::milliseconds(10), [this, weak = std::weak_ptr(alive_)] {
            if (weak.expired())
                return;
            follower_.tick();
            writer.tick();
            schedule();
        });
    }

    sim_time& time_;

public:
    sim_log log;

private:
    keyed_follower follower_;

public:
    intake_writer writer;

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
