#pragma once

#include "cell_host/intake_writer.h"
#include "figwinch/simulation/sim_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figwinch::sim {

/// The outcome that a caller got, and when.
struct submission_result {
    std::optional<intake_outcome> outcome;
    instant at{};
};

/// The `intake_writer` of one simulated host, with its connection to the log and a follower of the
/// intake stream.
class intake_host {
public:
    intake_host(sim_time& time, sim_store& store, double random = 1)
        : time_(time), log(time, store, [random] { return random; }),
          follower_(time.clock(), log, cell_stream::intake, {{}, std::chrono::seconds(1)},
                    [this](const stored_record& record) { writer.on_record_read(record); }),
          writer({time.clock(), log, record_limits(cell_settings{}.max_record_bytes),
                  [this](const stored_record& record) { follower_.on_own_append(record); },
                  [this] { return log.state == sim_log::way::open; },
                  [this](const std::vector<std::string>&, const std::function<void()>& done) {
                      follower_.sync([done](bool) { done(); });
                  }}) {
        schedule();
    }
    ~intake_host() { log.kill(); }

    /// Submits a job for a caller with the timeout `caller_timeout`.
    std::shared_ptr<submission_result> submit(const std::string& job, duration caller_timeout,
                                              const std::string& spec = "what it is") {
        auto answer = std::make_shared<submission_result>();
        writer.write({{"j" + job, spec, 0}}, time_.now() + caller_timeout,
                     [this, answer](intake_outcome outcome, std::uint64_t) {
                         answer->outcome = outcome;
                         answer->at = time_.now();
                     });
        return answer;
    }

private:
    void schedule() {
        time_.after(std::chrono::milliseconds(10), [this, weak = std::weak_ptr(alive_)] {
            if (weak.expired() || killed)
                return;
            follower_.tick();
            writer.tick();
            schedule();
        });
    }

    sim_time& time_;

public:
    /// Whether the host's process has been killed.
    bool killed = false;
    sim_log log;

private:
    keyed_follower follower_;

public:
    intake_writer writer;

private:
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// A simulated bus between a host and the shared writer, with a latency of 2 ms. A writer that was
/// killed is detected after a second.
class sim_bus_writer final : public shared_writer {
public:
    sim_bus_writer(sim_time& time, intake_host& writer) : time_(time), writer_(writer) {}

    bool is_available() const override { return !given_up_; }
    void hand_over(const std::vector<stored_record>& records, duration caller_timeout,
                   handler done) override {
        const auto answer = once(std::move(done));
        time_.after(latency, [this, records, caller_timeout, answer] {
            if (!writer_.killed)
                take(records, caller_timeout, answer);
        });
        time_.after(std::chrono::seconds(1), [this, answer] {
            if (!writer_.killed)
                return;
            given_up_ = true;
            answer({});
        });
    }

private:
    static constexpr duration latency = std::chrono::milliseconds(2);

    static handler once(handler done) {
        return [left = std::make_shared<handler>(std::move(done))](const handover_result& result) {
            if (const handler call = std::exchange(*left, nullptr))
                call(result);
        };
    }
    void take(const std::vector<stored_record>& records, duration caller_timeout,
              const handler& answer) {
        writer_.writer.write_for_other(
            records, time_.now() + caller_timeout,
            [this, answer](intake_outcome outcome, auto offset) {
                handover_result result;
                result.offset = offset;
                result.writer_latency = writer_.writer.append_latency().latest();
                if (outcome == intake_outcome::stored)
                    result.outcome = handover_result::kind::stored;
                if (outcome == intake_outcome::not_stored)
                    result.outcome = handover_result::kind::not_stored;
                if (outcome == intake_outcome::rejected)
                    result.outcome = handover_result::kind::rejected;
                if (!writer_.killed)
                    time_.after(latency, [answer, result] { answer(result); });
            });
    }

    sim_time& time_;
    intake_host& writer_;
    bool given_up_ = false;
};

} // namespace figwinch::sim
