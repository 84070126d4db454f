#pragma once

#include "figwinch/link/relay_server.h"
#include "link.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>

namespace figwinch {

/// A relay's end of one session with a coordinator. It ends when another session begins; workers'
/// answers that arrive later are dropped. Owned by `relay_server`.
class relay_server::session : public std::enable_shared_from_this<session> {
public:
    session(const clock& time, worker_orders& orders, std::string name, lease_epoch epoch)
        : time_(time), orders_(orders), name_(std::move(name)), epoch_(epoch) {}

    const std::string& name() const { return name_; }
    lease_epoch epoch() const { return epoch_; }
    /// Whether `exchange` is the next one of this session.
    bool is_next(const pb::LinkExchange& exchange) const {
        return exchange.session() == name_ && exchange.number() == last_exchange_ + 1;
    }
    void apply(const pb::LinkExchange& exchange);
    /// Returns and clears the results collected since the last call.
    pb::LinkReply drain_results();

private:
    struct worker {
        worker_listing listing;
        /// Run numbers whose task the coordinator knows, so that reports may omit the task name.
        absl::flat_hash_set<std::uint64_t> known_runs;
    };

    void add_worker(const pb::LinkWorker& message);
    void add_payload(const pb::LinkPayload& message);
    void forward(const pb::LinkOrder& order);
    void start(worker& to, const pb::LinkOrder& order);
    void stop(const worker& to, const pb::LinkOrder& order);
    void pace(const worker& to, const pb::LinkOrder& order);
    void hold(const worker& to, const pb::LinkOrder& order);
    void forget(const worker& to, const pb::LinkOrder& order);
    worker_orders::answer_handler result_handler(const pb::LinkOrder& order);
    void add_report(const pb::LinkOrder& order, order_outcome outcome, const worker_report& report);
    static void fill_running(worker& reporter, const worker_report& report, bool names,
                             pb::LinkReport& message);

    const clock& time_;
    worker_orders& orders_;
    std::string name_;
    lease_epoch epoch_;
    std::uint64_t last_exchange_ = 0;
    absl::flat_hash_map<std::uint32_t, worker> workers_;
    absl::flat_hash_map<std::uint64_t, std::string> payloads_;
    /// Numbers of the cached payloads, oldest first.
    std::deque<std::uint64_t> payload_order_;
    pb::LinkReply results_;
};

} // namespace figwinch
