#pragma once

#include "cell_host/intake_writer.h"
#include "figwinch/net.h"

#include <absl/status/statusor.h>

#include <memory>
#include <vector>

namespace figwinch {

/// Translates between callers' HTTP bodies and jobs. Implemented by platform/.
class job_dialect {
public:
    virtual ~job_dialect() = default;
    virtual absl::StatusOr<job_spec> decode_submission(std::string_view body) const = 0;
    virtual bool is_job_id(std::string_view text) const = 0;
    virtual std::string encode_state(const job_entry& job) const = 0;
    virtual std::string encode_waiting(std::size_t jobs) const = 0;
    /// How long the caller waits for the answer; nothing when it didn't say.
    virtual std::optional<duration> patience(const http_request& request) const = 0;
};

/// What callers' requests came to, for metrics.
struct job_front_counts {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t asked = 0;
    std::uint64_t cancelled = 0;
};

/// Callers' way in: submits, shows and cancels jobs. Any host can answer, from its own copy of the
/// log. A submission is accepted when the log has it; a job is called unknown only after the log
/// was read to its end. What can't be stored in its caller's time is refused at once. No request is
/// held longer than its caller waits, whatever the log does. Driven by `tick`. Owned by the host's
/// daemon.
class job_front {
public:
    /// What it works with; all outlive it. `config` may be empty: no configuration yet.
    struct parts {
        const clock& time;
        const job_dialect& dialect;
        const std::optional<cell_config>& config;
        const cell_state& state;
        intake_writer& writer;
        /// Reads the intake stream to its present end; tells whether it could.
        std::function<void(std::function<void(bool)>)> sync;
        /// Whether the log has answered this host lately.
        std::function<bool()> log_answers;
        /// Told how long each acceptance took.
        std::function<void(duration)> accepted;
    };

    explicit job_front(parts with) : with_(std::move(with)) {}

    void handle(const http_request& request, const std::shared_ptr<http_responder>& answer);
    /// Refuses questions that have waited too long for a read of the log.
    void tick();
    /// Before a planned stop: holds no request beyond `latest`, those that it holds included.
    void end_by(instant latest);
    const job_front_counts& counts() const { return counts_; }

private:
    using responder = std::shared_ptr<http_responder>;

    /// A request about a job that this host doesn't know yet.
    struct question {
        job_id id;
        responder answer;
        std::function<void(const job_entry&)> found;
        /// When it is refused at the latest.
        instant end{};
        bool settled = false;
    };

    void submit(const queue_config& queue, const job_id& id, const http_request& request,
                const responder& answer);
    void answer_submission(const job_id& id, const responder& answer, intake_outcome outcome,
                           instant begun);
    void show(const job_id& id, const http_request& request, const responder& answer);
    void cancel(const job_id& id, const http_request& request, const responder& answer);
    void write_cancellation(const job_id& id, instant deadline, const responder& answer);
    void show_queue(const queue_config& queue, const responder& answer);
    /// Calls `found` with the job, after reading on where it isn't known yet; answers itself when
    /// there is none, or when that can't be told by then.
    void find(const job_id& id, const http_request& request, const responder& answer,
              std::function<void(const job_entry&)> found);
    /// `doubt`: why the host's copy may lack the job; empty when it has all that the log had.
    void settle(question& asked, std::string_view doubt);
    void refuse(const responder& answer, result_code code, std::string_view why,
                const std::string& job);
    std::chrono::seconds retry_after(const result_info& row, const std::string& job) const;
    instant deadline_of(const http_request& request) const;

    parts with_;
    std::vector<std::shared_ptr<question>> questions_;
    job_front_counts counts_;
    instant latest_end_ = instant::max();
};

} // namespace figwinch
