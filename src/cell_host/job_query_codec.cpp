#include "cell_host/job_query_codec.h"

#include "question.pb.h"

namespace figwinch {
namespace {

bool parse(google::protobuf::MessageLite& into, std::string_view bytes) {
    return into.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::string encode_job_query(const job_query& question) {
    pb::JobQuestion message;
    message.set_patience_ms(question.timeout / std::chrono::milliseconds(1));
    if (const job_id* const job = std::get_if<job_id>(&question.about))
        message.set_job(job->str());
    else
        message.set_queue(std::get<queue_name>(question.about).str());
    return message.SerializeAsString();
}

std::optional<job_query> decode_job_query(std::string_view bytes) {
    pb::JobQuestion message;
    if (!parse(message, bytes))
        return std::nullopt;
    const duration timeout = std::chrono::milliseconds(message.patience_ms());
    if (message.about_case() == pb::JobQuestion::kJob)
        return job_query{timeout, job_id(message.job())};
    if (message.about_case() == pb::JobQuestion::kQueue)
        return job_query{timeout, queue_name(message.queue())};
    return std::nullopt;
}

std::string encode_job_answer(const job_answer& answer) {
    pb::JobAnswer message;
    if (answer.outcome == job_answer::kind::unknown)
        message.set_kind(pb::JobAnswer::UNKNOWN);
    if (answer.outcome == job_answer::kind::found) {
        message.set_kind(pb::JobAnswer::STATE);
        message.set_phase(static_cast<std::uint32_t>(answer.job.phase));
        message.set_begun(answer.job.begun);
        message.set_cancel_wanted(answer.job.cancel_wanted);
    }
    return message.SerializeAsString();
}

job_answer decode_job_answer(const job_id& id, std::string_view bytes) {
    pb::JobAnswer message;
    job_answer answer;
    if (!parse(message, bytes))
        return answer;
    if (message.kind() == pb::JobAnswer::UNKNOWN)
        answer.outcome = job_answer::kind::unknown;
    constexpr auto last_phase = static_cast<std::uint32_t>(job_phase::cancelled);
    if (message.kind() != pb::JobAnswer::STATE || message.phase() > last_phase)
        return answer;
    answer.outcome = job_answer::kind::found;
    answer.job.id = id;
    answer.job.spec = std::make_shared<const job_spec>();
    answer.job.phase = static_cast<job_phase>(message.phase());
    answer.job.begun = message.begun();
    answer.job.cancel_wanted = message.cancel_wanted();
    return answer;
}

std::string encode_waiting_answer(std::optional<std::size_t> waiting) {
    pb::JobAnswer message;
    if (waiting) {
        message.set_kind(pb::JobAnswer::WAITING);
        message.set_waiting(*waiting);
    }
    return message.SerializeAsString();
}

std::optional<std::size_t> decode_waiting_answer(std::string_view bytes) {
    pb::JobAnswer message;
    if (!parse(message, bytes) || message.kind() != pb::JobAnswer::WAITING)
        return std::nullopt;
    return message.waiting();
}

} // namespace figwinch
