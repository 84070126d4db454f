#pragma once

#include "cell_host/cell_platform.h"
#include "figwinch/net.h"

#include <charconv>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace figwinch {

/// The only queue in the configuration of `fake_platform`.
inline queue_config fake_queue() {
    queue_config queue;
    queue.name = queue_name("gate");
    queue.host = "gate.example";
    queue.path_prefix = "/jobs/";
    queue.service = service_id("yard");
    return queue;
}

/// A log that never answers calls to the streams in `held`. The others are empty except for the
/// operators' configuration. Appends to the election stream fail, so no host becomes coordinator.
class held_log final : public durable_log {
public:
    explicit held_log(event_loop& loop) : loop_(loop) {}

    std::set<cell_stream> held;
    /// Service time of an append.
    duration service{};
    /// Number of records appended to the intake stream.
    std::size_t appended = 0;

    void append(cell_stream stream, const std::vector<stored_record>& records, const append_guard&,
                std::function<void(append_result)> done) override {
        append_result answer;
        if (stream == cell_stream::reigns) {
            answer.fault = log_fault::unavailable;
            return reply(stream, [done = std::move(done), answer] { done(answer); });
        }
        appended += records.size();
        if (service > duration::zero()) {
            serving_ = loop_.after(service, [done = std::move(done), answer] { done(answer); });
            return;
        }
        reply(stream, [done = std::move(done), answer] { done(answer); });
    }
    void read(cell_stream stream, std::uint64_t, duration,
              std::function<void(read_result)> done) override {
        reply(stream, [done = std::move(done)] { done({}); });
    }
    void read_newest(cell_stream stream, const std::string&,
                     std::function<void(newest_result)> done) override {
        newest_result page;
        if (stream == cell_stream::operators)
            page.records.push_back({"config", "1", 0});
        reply(stream, [done = std::move(done), page] { done(page); });
    }

private:
    void reply(cell_stream stream, std::function<void()> answer) {
        if (held.contains(stream))
            return unanswered_.push_back(std::move(answer));
        loop_.post(std::move(answer));
    }

    event_loop& loop_;
    std::vector<std::function<void()>> unanswered_;
    std::unique_ptr<event_handle> serving_;
};

/// A body is a job's payload; the header `Patience-Ms` holds the caller's timeout.
class fake_job_codec final : public job_api_codec {
public:
    absl::StatusOr<job_spec> decode_submission(std::string_view body) const override {
        job_spec job;
        job.payload = std::string(body);
        job.steps.emplace_back();
        return job;
    }
    bool is_job_id(std::string_view text) const override { return !text.empty(); }
    std::string encode_state(const job_entry&) const override { return "{}"; }
    std::string encode_waiting(std::size_t) const override { return "{}"; }
    std::optional<duration> caller_timeout(const http_request& request) const override {
        const auto text = request.headers.find("Patience-Ms");
        if (!text)
            return std::nullopt;
        std::int64_t value = 0;
        std::from_chars(text->data(), text->data() + text->size(), value);
        return std::chrono::milliseconds(value);
    }
};

/// A platform without workers, on a `held_log`.
class fake_platform : public cell_platform, public worker_orders, public worker_advisor {
public:
    explicit fake_platform(event_loop& loop) : log_(loop) {}

    held_log& held() { return log_; }

    durable_log& log() override { return log_; }
    worker_orders& orders() override { return *this; }
    worker_advisor& advisor() override { return *this; }
    const job_api_codec& job_codec() const override { return dialect_; }
    bool is_config_key(std::string_view key) const override { return key == "config"; }
    std::optional<cell_config> decode_config(std::string_view) const override {
        cell_config config;
        config.version = config_version(1);
        config.queues.push_back(fake_queue());
        return config;
    }
    std::optional<data_centre_id> evacuated_by(std::string_view) const override { return {}; }
    absl::StatusOr<worker_listing> decode_listing(std::string_view,
                                                  std::string_view) const override {
        return make_error(result_code::malformed_request, "no workers");
    }
    std::uint64_t log_calls() const override { return 0; }
    std::uint64_t order_calls() const override { return 0; }

    void start(const worker_listing&, const start_order&, answer_handler) override {}
    void stop(const worker_listing&, const std::string&, run_number, lease_epoch,
              answer_handler) override {}
    void throttle(const worker_listing&, const throttle_order&, answer_handler) override {}
    void renew_lease(const worker_listing&, const renewal_order&, renewal_handler) override {}
    void forget(const worker_id&) override {}
    void ask(const std::string&, const std::vector<worker_id>&, duration,
             worker_advisor::handler) override {}

private:
    held_log log_;
    fake_job_codec dialect_;
};

} // namespace figwinch
