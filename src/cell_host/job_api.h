#pragma once

#include "cell_host/intake_writer.h"
#include "cell_host/job_lookup.h"
#include "figwinch/net.h"

#include <absl/status/statusor.h>

#include <memory>

namespace figwinch {

/// Translates between callers' HTTP bodies and jobs. Implemented by platform/.
class job_api_codec {
public:
    virtual ~job_api_codec() = default;
    virtual absl::StatusOr<job_spec> decode_submission(std::string_view body) const = 0;
    virtual bool is_job_id(std::string_view text) const = 0;
    virtual std::string encode_state(const job_entry& job) const = 0;
    virtual std::string encode_waiting(std::size_t jobs) const = 0;
    /// The caller's timeout; nullopt if the request doesn't state it.
    virtual std::optional<duration> caller_timeout(const http_request& request) const = 0;
};

/// Counters of callers' requests and their results, for metrics.
struct job_api_counts {
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t queries = 0;
    std::uint64_t cancelled = 0;
};

/// The HTTP API for callers: submits, shows and cancels jobs. A submission is accepted once the log
/// has stored it. A job is reported as unknown only by a host that has read the log to its end. A
/// submission that can't be stored before its caller's timeout is refused at once. Every request is
/// answered before its caller's timeout, whatever the log and other hosts do. Owned by the host's
/// daemon.
class job_api {
public:
    /// Dependencies, which must outlive this object. `config` is empty until a configuration has
    /// been read.
    struct dependencies {
        const clock& time;
        const job_api_codec& codec;
        const std::optional<cell_config>& config;
        /// This host's read replica of the cell's jobs; empty on hosts that keep none.
        const cell_state& state;
        job_lookup& jobs;
        intake_writer& writer;
        /// Whether the log has answered this host recently.
        std::function<bool()> log_answers;
        /// Called for each accepted submission with the time from its arrival to its acceptance.
        std::function<void(duration)> accepted;
    };

    explicit job_api(dependencies deps) : deps_(std::move(deps)) {}

    void handle(const http_request& request, const std::shared_ptr<http_responder>& answer);
    /// For a planned stop: answers all requests, also those in progress, by `latest`.
    void cap_deadlines(instant latest);
    const job_api_counts& counts() const { return counts_; }

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
    /// Calls `found` with the job. If there is no such job, or that can't be determined before the
    /// caller's timeout, answers the request with an error instead.
    void find(const job_id& id, const http_request& request, const responder& answer,
              std::function<void(const job_entry&)> found);
    void refuse(const responder& answer, result_code code, std::string_view why,
                const std::string& job);
    std::chrono::seconds retry_after(const result_info& row, const std::string& job) const;
    instant deadline_of(const http_request& request) const;

    dependencies deps_;
    job_api_counts counts_;
    instant latest_deadline_ = instant::max();
};

} // namespace figwinch
