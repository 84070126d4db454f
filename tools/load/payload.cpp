#include "tools/load/payload.h"

#include <google/protobuf/util/json_util.h>

namespace figwinch::load {
namespace {

// Long enough for a cut or a crossed answer to show.
constexpr std::size_t filler_bytes = 512;

} // namespace

std::string payload_of(const pb::TraceLine& line) {
    const std::string key = line.customer() + "/" + line.id() + ";";
    std::string filler;
    while (filler.size() < filler_bytes)
        filler += key;
    return R"({"work_ms": )" + std::to_string(line.work_ms()) + R"(, "filler": ")" + filler +
           R"("})";
}

bool answers(const http_response& response, const pb::TraceLine& line) {
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    pb::ExecutorAnswer answer;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(response.body, &answer, options);
    return parsed.ok() && answer.request_id() == line.id() &&
           answer.customer() == line.customer() && answer.body() == payload_of(line);
}

} // namespace figwinch::load
