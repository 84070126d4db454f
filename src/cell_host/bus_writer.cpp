#include "cell_host/bus_writer.h"

#include "cell_host/handover_codec.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

constexpr duration probe_period = std::chrono::milliseconds(300);
// A host with a small share of a core may need several tenths of a second to reply.
constexpr duration probe_patience = std::chrono::milliseconds(700);
constexpr duration absence = std::chrono::seconds(2);

} // namespace

bus_writer::bus_writer(const clock& time, bus& peers,
                       std::function<std::optional<std::string>()> where)
    : time_(time), peers_(peers), where_(std::move(where)) {}

bool bus_writer::is_open() const {
    const std::optional<std::string> where = where_();
    return where && (*where != absent_ || time_.now() >= absent_until_);
}

void bus_writer::hand(const std::vector<stored_record>& records, duration patience, handler done) {
    done_ = std::move(done);
    asked_ = where_().value_or("");
    next_probe_ = time_.now();
    const std::string body = encode_handover({patience, records});
    peers_.ask(asked_, encode_peer_message(peer_message::handover, body), patience,
               [this, round = ++round_, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired())
                       take(round, reply);
               });
}

void bus_writer::tick() {
    if (done_ && time_.now() >= next_probe_)
        probe();
}

void bus_writer::probe() {
    next_probe_ = time_.now() + probe_period;
    peers_.ask(asked_, encode_peer_message(peer_message::handover, encode_handover({})),
               probe_patience,
               [this, round = round_, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired() && !reply.ok())
                       give_up(round);
               });
}

void bus_writer::give_up(std::uint64_t round) {
    if (round != round_ || !done_)
        return;
    absent_ = asked_;
    absent_until_ = time_.now() + absence;
    end({});
}

/// A handover that times out doesn't start a backoff, because the writer's log may just be slow;
/// only a failed probe does.
void bus_writer::take(std::uint64_t round, const absl::StatusOr<std::string>& reply) {
    if (round != round_ || !done_)
        return;
    end(reply.ok() ? decode_handover_result(*reply) : handover_result{});
}

void bus_writer::end(const handover_result& result) {
    if (const handler call = std::exchange(done_, nullptr))
        call(result);
}

} // namespace figwinch
