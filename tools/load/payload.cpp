#include "tools/load/payload.h"

namespace figwinch::load {
namespace {

// Long enough for a cut or a crossed answer to show.
constexpr std::size_t filler_bytes = 512;

} // namespace

std::string payload_of(const pb::TraceLine& line) {
    const std::string key = line.customer() + "/" + line.id() + ";";
    std::string text = "work_ms=" + std::to_string(line.work_ms()) + ";";
    while (text.size() < filler_bytes)
        text += key;
    return text + "end";
}

bool answers(const http_response& response, const pb::TraceLine& line) {
    return response.body.find(payload_of(line)) != std::string::npos;
}

} // namespace figwinch::load
