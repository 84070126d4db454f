#pragma once

#include "entry/active_request.h"
#include "entry/answer_cache.h"
#include "entry/holder_query.h"
#include "entry/request_dispatcher.h"

#include <absl/container/flat_hash_map.h>

namespace figwinch {

/// The life of an interactive request in this entry: claim, wait, dispatch, retry, answer. Every
/// request is answered exactly once. Owned by the daemon.
class request_service {
public:
    struct settings {
        admission::settings queue;
        retry_policy::settings retries;
        std::size_t max_cached_bytes = std::size_t{4} * 1024 * 1024;
        /// How long other entries may take to answer a claim.
        duration claim_timeout = std::chrono::milliseconds(300);
        std::uint64_t seed = 1;
    };
    using answer_handler = active_request::answer_handler;

    request_service(event_loop& loop, peer_service& peers, const clock& time,
                    request_dispatcher& dispatcher, claim_service& claims, request_metrics& counts,
                    const settings& with);

    /// Takes a caller's request.
    void submit(interactive_request request, answer_handler done);
    /// Takes a request that another entry sent because slots were free here, or the queue shorter.
    void submit_forwarded(interactive_request request, answer_handler done);
    /// Answers another entry that received a resend of a request which this one claimed: from what
    /// is known, running nothing.
    void answer_resend(const claim_key& key, answer_handler done);

    /// Dispatches what waits, as far as slots are free; called when slots may have become free.
    void pump();
    /// From now on nothing new is taken; what was taken is finished.
    void start_draining() { draining_ = true; }
    std::size_t active() const { return active_.size(); }
    std::size_t waiting() const { return queue_.waiting(); }

private:
    active_request& add(interactive_request request, answer_handler done);
    void resolve(std::uint64_t number);
    void note_claim(std::uint64_t number, const claim_progress& progress);
    void enqueue(std::uint64_t number);
    /// Whether the request has gone to wait at another entry, or has been refused.
    bool wait_elsewhere(active_request& it);
    void wait_in_queue(active_request& it);
    void dispatch(std::uint64_t number);
    void note_end(std::uint64_t number, const dispatch_result& result);
    void finish(std::uint64_t number, final_answer answer);
    /// Corrects what is said of a non-idempotent request that is refused.
    void settle_claim(const active_request& it, final_answer& answer);
    void give_up_late();

    event_loop& loop_;
    const clock& time_;
    holder_query holders_;
    request_dispatcher& dispatcher_;
    claim_service& claims_;
    request_metrics& counts_;
    settings with_;
    admission queue_;
    retry_policy retries_;
    answer_cache answers_;
    std::uint64_t next_number_ = 1;
    bool draining_ = false;
    bool pumping_ = false;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<active_request>> active_;
    /// Non-idempotent requests among them, whose resends join.
    absl::flat_hash_map<claim_key, std::uint64_t> by_key_;
    std::unique_ptr<event_handle> give_up_tick_;
};

} // namespace figwinch
