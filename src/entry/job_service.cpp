#include "entry/job_service.h"

#include "entry/http_answer.h"
#include "entry/interactive_request.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace figwinch {
namespace {

constexpr duration ask_timeout = std::chrono::seconds(2);
constexpr duration job_deadline = std::chrono::seconds(6);
constexpr int list_limit = 1000;
constexpr int http_ok = 200;
constexpr int http_created = 201;

using google::protobuf::util::JsonPrintOptions;
using google::protobuf::util::JsonStringToMessage;
using google::protobuf::util::MessageToJsonString;

std::string to_json(const google::protobuf::Message& message) {
    JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    // Fails only for text that is not UTF-8, which parsing has refused.
    if (!MessageToJsonString(message, &text, options).ok())
        return "{}";
    return text;
}

http_response refusal(result_code code, std::string reason) {
    return to_http(final_answer::refusal(code, std::move(reason)));
}

http_response refusal(const absl::Status& status) {
    return refusal(code_of(status), std::string(status.message()));
}

/// A scheduler that does not answer may still have accepted the job; the same id can be sent again.
http_response silent_scheduler() {
    final_answer answer = final_answer::refusal(
        result_code::no_scheduler, "the scheduler does not answer; the job may have been accepted");
    answer.ran = ran_state::unknown;
    return to_http(answer);
}

http_response answer_submit(const pb::PeerReply& reply) {
    // A scheduler that knows the job already says so by its state.
    const bool is_new = reply.job().state().empty() || reply.job().state() == "queued";
    return json_response(is_new ? http_created : http_ok, to_json(reply.job()));
}

} // namespace

std::vector<member> job_service::schedulers_for(const std::string& key) const {
    std::vector<member> schedulers;
    for (member& one : peers_.members()) {
        const bool here = one.data_centre == peers_.self().data_centre;
        const bool usable = one.state == member_state::live || one.state == member_state::suspect;
        if (one.role == member_role::scheduler && here && usable)
            schedulers.push_back(std::move(one));
    }
    std::ranges::sort(schedulers, std::greater{},
                      [&key](const member& one) { return rendezvous_weight(one.node.str(), key); });
    return schedulers;
}

void job_service::handle(const http_request& message, const std::string& id,
                         const response_handler& done) {
    const auto customer = message.headers.find("Figwinch-Customer");
    if (!customer.has_value() || !is_valid_name(*customer)) {
        done(refusal(result_code::missing_field, "Figwinch-Customer is missing or not a name"));
        return;
    }
    const std::string name(*customer);
    if (id.empty() && message.method == http_method::post) {
        submit(name, message.body, done);
        return;
    }
    if (id.empty() && message.method == http_method::get) {
        list(name, done);
        return;
    }
    pb::PeerRequest request;
    if (!id.empty() && message.method == http_method::get) {
        request.mutable_show_job()->set_customer(name);
        request.mutable_show_job()->set_job(id);
    } else if (!id.empty() && message.method == http_method::del) {
        request.mutable_cancel_job()->set_customer(name);
        request.mutable_cancel_job()->set_job(id);
    } else {
        done(refusal(result_code::unknown_path, ""));
        return;
    }
    find(schedulers_for(name + "/" + id), request, time_.now() + job_deadline, done,
         absl::OkStatus());
}

void job_service::submit(const std::string& customer, const std::string& body,
                         const response_handler& done) {
    pb::PeerRequest message;
    pb::JobSpec& spec = *message.mutable_submit_job()->mutable_spec();
    const auto parsed = JsonStringToMessage(body, &spec);
    if (!parsed.ok()) {
        done(refusal(result_code::malformed_request, std::string(parsed.message())));
        return;
    }
    if (spec.customer().empty())
        spec.set_customer(customer);
    if (spec.customer() != customer) {
        done(refusal(result_code::not_authorised, "the job names another customer"));
        return;
    }
    if (!is_valid_name(spec.id())) {
        done(refusal(result_code::missing_field, "id must be 1 to 128 visible ASCII characters"));
        return;
    }
    const std::vector<member> schedulers = schedulers_for(customer + "/" + spec.id());
    if (schedulers.empty()) {
        done(refusal(result_code::no_scheduler, ""));
        return;
    }
    send_submit(schedulers.front(), message, time_.now() + job_deadline, done);
}

void job_service::send_submit(const member& to, const pb::PeerRequest& message, instant deadline,
                              const response_handler& done) {
    peers_.ask(to.address, message, ask_timeout,
               [this, to, message, deadline, done](const absl::StatusOr<pb::PeerReply>& reply) {
                   if (reply.ok()) {
                       done(answer_submit(*reply));
                       return;
                   }
                   const bool lost = code_of(reply.status()) == result_code::peer_unreachable;
                   if (!lost) {
                       done(refusal(reply.status()));
                       return;
                   }
                   // The scheduler may have accepted the job, and no other can know: the same one
                   // is asked again, where the id makes it one submission.
                   if (time_.now() + ask_timeout < deadline)
                       send_submit(to, message, deadline, done);
                   else
                       done(silent_scheduler());
               });
}

void job_service::find(std::vector<member> schedulers, const pb::PeerRequest& message,
                       instant deadline, const response_handler& done, const absl::Status& doubt) {
    if (schedulers.empty() || time_.now() >= deadline) {
        done(doubt.ok() ? refusal(result_code::no_scheduler, "") : refusal(doubt));
        return;
    }
    const member next = std::move(schedulers.front());
    schedulers.erase(schedulers.begin());
    peers_.ask(next.address, message, ask_timeout,
               [this, schedulers = std::move(schedulers), message, deadline, done,
                doubt](const absl::StatusOr<pb::PeerReply>& reply) {
                   if (reply.ok()) {
                       done(json_response(http_ok, to_json(reply->job())));
                       return;
                   }
                   // Jobs move between schedulers, so that another may have it.
                   const result_code code = code_of(reply.status());
                   const bool unsure = code == result_code::peer_unreachable ||
                                       code == result_code::no_scheduler ||
                                       code == result_code::state_not_recovered;
                   if (!unsure && code != result_code::not_found) {
                       done(refusal(reply.status()));
                       return;
                   }
                   // "Not found" is said only when every scheduler could say it.
                   find(schedulers, message, deadline, done,
                        unsure || doubt.ok() ? reply.status() : doubt);
               });
}

void job_service::list(const std::string& customer, const response_handler& done) {
    const std::vector<member> schedulers = schedulers_for(customer);
    if (schedulers.empty()) {
        done(refusal(result_code::no_scheduler, ""));
        return;
    }
    struct gathering {
        pb::JobList jobs;
        std::size_t waiting = 0;
        std::size_t silent = 0;
    };
    auto all = std::make_shared<gathering>();
    all->waiting = schedulers.size();
    pb::PeerRequest message;
    message.mutable_list_jobs()->set_customer(customer);
    message.mutable_list_jobs()->set_limit(list_limit);
    for (const member& one : schedulers)
        peers_.ask(one.address, message, ask_timeout,
                   [all, done](const absl::StatusOr<pb::PeerReply>& reply) {
                       if (reply.ok())
                           all->jobs.MergeFrom(reply->jobs());
                       else
                           ++all->silent;
                       if (--all->waiting > 0)
                           return;
                       // Part of a list would look like the whole.
                       done(all->silent > 0
                                ? refusal(result_code::peer_unreachable,
                                          std::to_string(all->silent) + " schedulers are silent")
                                : json_response(http_ok, to_json(all->jobs)));
                   });
}

} // namespace figwinch
