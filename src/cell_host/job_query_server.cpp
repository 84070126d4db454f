#include "cell_host/job_query_server.h"

#include "cell_host/job_query_codec.h"

#include <algorithm>

namespace figwinch {
namespace {

// Lookups end this long before the querying host's timeout, so that it learns in time that this
// replica has no answer and can ask another one.
constexpr duration reply_margin = std::chrono::milliseconds(30);

} // namespace

void job_query_server::handle(std::string_view body,
                              const std::function<void(std::string)>& reply) {
    const std::optional<job_query> question = decode_job_query(body);
    if (!question || !has_replica_())
        return reply(encode_job_answer({}));
    ++answered_;
    const instant end =
        time_.now() + std::max(question->timeout - reply_margin, question->timeout / 2);
    if (const job_id* const id = std::get_if<job_id>(&question->about))
        return jobs_.find(*id, end,
                          [reply](const job_answer& answer) { reply(encode_job_answer(answer)); });
    jobs_.count_waiting(
        std::get<queue_name>(question->about), end,
        [reply](std::optional<std::size_t> waiting) { reply(encode_waiting_answer(waiting)); });
}

} // namespace figwinch
