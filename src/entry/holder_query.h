#pragma once

#include "entry/final_answer.h"
#include "entry/interactive_request.h"
#include "membership/peer_service.h"

#include <functional>

namespace figwinch {

/// Asks the entry that holds the claim of a request for its answer, on behalf of a resend that came
/// here. Owned by `request_service`.
class holder_query {
public:
    using answer_handler = std::function<void(const final_answer&)>;

    holder_query(peer_service& peers, const clock& time) : peers_(peers), time_(time) {}

    /// Calls back exactly once: with the holder's own answer, or with what is known when it is
    /// gone.
    void ask(const interactive_request& request, const claim_progress& progress,
             answer_handler done);

private:
    struct question {
        request_id request;
        customer_id customer;
        incarnation_id holder;
        instant deadline{};
        answer_handler done;
    };

    void ask_again(const std::shared_ptr<question>& about);
    static final_answer read_reply(const question& about, const pb::ForwardReply& reply);

    peer_service& peers_;
    const clock& time_;
};

} // namespace figwinch
