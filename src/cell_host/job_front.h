#pragma once

#include "cell_host/intake_writer.h"
#include "cell_host/job_source.h"
#include "figwinch/net.h"

#include <absl/status/statusor.h>

#include <memory>

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

/// Callers' way in: submits, shows and cancels jobs. A submission is accepted when the log has it;
/// a job is called unknown only by a host that has read the log to its end. What can't be stored in
/// its caller's time is refused at once. No request is held longer than its caller waits, whatever
/// the log and other hosts do. Owned by the host's daemon.
class job_front {
public:
    /// What it works with; all outlive it. `config` may be empty: no configuration yet.
    struct parts {
        const clock& time;
        const job_dialect& dialect;
        const std::optional<cell_config>& config;
        /// Jobs that this host has a copy of.
        const cell_state& state;
        job_source& jobs;
        intake_writer& writer;
        /// Whether the log has answered this host lately.
        std::function<bool()> log_answers;
        /// Told how long each acceptance took.
        std::function<void(duration)> accepted;
    };

    explicit job_front(parts with) : with_(std::move(with)) {}

    void handle(const http_request& request, const std::shared_ptr<http_responder>& answer);
    /// Before a planned stop: holds no request beyond `latest`, those that it holds included.
    void end_by(instant latest);
    const job_front_counts& counts() const { return counts_; }

private:
    using responder = std::shared_ptr<http_responder>;

    void submit(const queue_config& queue, const job_id& id, const http_request& request,
                const responder& answer);
    void answer_submission(const job_id& id, const responder& answer, intake_outcome outcome,
                           instant begun);
    void show(const job_id& id, const http_request& request, const responder& answer);
    void cancel(const job_id& id, const http_request& request, const responder& answer);
    void write_cancellation(const job_id& id, instant deadline, const responder& answer);
    void show_queue(const queue_config& queue, const http_request& request,
                    const responder& answer);
    /// Calls `found` with the job; answers itself when there is none, or when that can't be told in
    /// the caller's time.
    void find(const job_id& id, const http_request& request, const responder& answer,
              std::function<void(const job_entry&)> found);
    void refuse(const responder& answer, result_code code, std::string_view why,
                const std::string& job);
    std::chrono::seconds retry_after(const result_info& row, const std::string& job) const;
    instant deadline_of(const http_request& request) const;

    parts with_;
    job_front_counts counts_;
    instant latest_end_ = instant::max();
};

} // namespace figwinch
