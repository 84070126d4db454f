#include "entry/holder_query.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace figwinch {
namespace {

/// How long the holder is waited for before it is asked again.
constexpr duration turn = std::chrono::milliseconds(500);

} // namespace

void holder_query::ask(const interactive_request& request, const claim_progress& progress,
                       answer_handler done) {
    auto about = std::make_shared<question>();
    about->request = request.id;
    about->customer = request.customer;
    about->holder = progress.holder;
    about->deadline = request.deadline;
    about->done = std::move(done);
    if (progress.holder == peers_.self().incarnation)
        about->done(
            final_answer::refusal(result_code::outcome_unknown, "the answer is no longer kept"));
    else
        ask_again(about);
}

void holder_query::ask_again(const std::shared_ptr<question>& about) {
    const auto members = peers_.members();
    const auto holder = std::ranges::find(members, about->holder, &member::incarnation);
    const bool is_there = holder != members.end() && (holder->state == member_state::live ||
                                                      holder->state == member_state::leaving);
    if (!is_there) {
        about->done(final_answer::refusal(result_code::outcome_unknown,
                                          "the entry that had this request is gone"));
        return;
    }
    const duration left = about->deadline - time_.now();
    if (left <= duration::zero()) {
        about->done(final_answer::refusal(result_code::deadline_passed, ""));
        return;
    }
    pb::PeerRequest message;
    pb::ForwardRequest& body = *message.mutable_forward();
    body.set_request_id(about->request.str());
    body.set_customer(about->customer.str());
    body.set_answer_only(true);
    // Asked in short turns, so that a holder that dies meanwhile does not keep the caller waiting.
    peers_.ask(holder->address, std::move(message), std::min(left, turn),
               [this, about](const absl::StatusOr<pb::PeerReply>& reply) {
                   if (reply.ok())
                       about->done(read_reply(*about, reply->forward()));
                   else
                       ask_again(about);
               });
}

final_answer holder_query::read_reply(const question& about, const pb::ForwardReply& reply) {
    final_answer answer = final_answer::refusal(result_code::outcome_unknown, "");
    if (reply.request_id() != about.request.str() || reply.customer() != about.customer.str())
        return answer;
    answer.code = info(static_cast<result_code>(reply.code())).code;
    answer.body = reply.body();
    answer.content_type = reply.content_type();
    return answer;
}

} // namespace figwinch
