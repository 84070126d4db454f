#include "tools/load/refusal.h"

#include <google/protobuf/util/json_util.h>

namespace figwinch::load {

pb::Refusal read_refusal(const http_response& response) {
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    pb::Refusal refusal;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(response.body, &refusal, options);
    if (parsed.ok() && refusal.code() != 0)
        return refusal;
    refusal.Clear();
    refusal.set_code(-1);
    refusal.set_name("http_" + std::to_string(response.status));
    refusal.set_ran("unknown");
    return refusal;
}

} // namespace figwinch::load
