#include "cell_host/handover_server.h"

#include "cell_host/handover_codec.h"

#include <optional>
#include <utility>

namespace figwinch {
namespace {

handover_result::kind kind_of(intake_outcome outcome) {
    switch (outcome) {
    case intake_outcome::stored:
        return handover_result::kind::stored;
    case intake_outcome::not_stored:
        return handover_result::kind::not_stored;
    case intake_outcome::rejected:
        return handover_result::kind::rejected;
    case intake_outcome::unknown:
        break;
    }
    return handover_result::kind::unknown;
}

} // namespace

void handover_server::handle(std::string_view body, const std::function<void(std::string)>& reply) {
    std::optional<handover> handed = decode_handover(body);
    if (!handed || !is_shared_writer_())
        return reply(encode_handover_result({handover_result::kind::not_taken, 0, {}}));
    if (handed->records.empty())
        return reply(encode_probe_reply());
    writer_.write_for_other(std::move(handed->records), time_.now() + handed->timeout,
                            [this, reply](intake_outcome outcome, std::uint64_t offset) {
                                reply(encode_handover_result(
                                    {kind_of(outcome), offset, writer_.append_latency().latest()}));
                            });
}

} // namespace figwinch
