#include "cell_host/bus_shared_writer.h"

#include "cell_host/handover_codec.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

constexpr duration probe_period = std::chrono::milliseconds(300);
// A host with a small share of a core may need several tenths of a second to reply.
constexpr duration probe_timeout = std::chrono::milliseconds(700);
constexpr duration probe_failure_backoff = std::chrono::seconds(2);

} // namespace

bus_shared_writer::bus_shared_writer(const clock& time, bus& peers,
                                     std::function<std::optional<std::string>()> find_writer)
    : time_(time), peers_(peers), find_writer_(std::move(find_writer)) {}

bool bus_shared_writer::is_available() const {
    const std::optional<std::string> address = find_writer_();
    return address && (*address != unresponsive_ || time_.now() >= backoff_until_);
}

void bus_shared_writer::hand_over(const std::vector<stored_record>& records, duration timeout,
                                  handler done) {
    done_ = std::move(done);
    target_ = find_writer_().value_or("");
    next_probe_ = time_.now();
    const std::string body = encode_handover({timeout, records});
    peers_.ask(target_, encode_peer_message(peer_message::handover, body), timeout,
               [this, round = ++handover_number_, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired())
                       handle_reply(round, reply);
               });
}

void bus_shared_writer::tick() {
    if (done_ && time_.now() >= next_probe_)
        probe();
}

void bus_shared_writer::probe() {
    next_probe_ = time_.now() + probe_period;
    peers_.ask(target_, encode_peer_message(peer_message::handover, encode_handover({})),
               probe_timeout,
               [this, round = handover_number_, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired() && !reply.ok())
                       on_probe_failure(round);
               });
}

void bus_shared_writer::on_probe_failure(std::uint64_t round) {
    if (round != handover_number_ || !done_)
        return;
    unresponsive_ = target_;
    backoff_until_ = time_.now() + probe_failure_backoff;
    complete({});
}

/// A handover that times out doesn't start a backoff, because the writer's log may just be slow;
/// only a failed probe does.
void bus_shared_writer::handle_reply(std::uint64_t round,
                                     const absl::StatusOr<std::string>& reply) {
    if (round != handover_number_ || !done_)
        return;
    complete(reply.ok() ? decode_handover_result(*reply) : handover_result{});
}

void bus_shared_writer::complete(const handover_result& result) {
    if (const handler call = std::exchange(done_, nullptr))
        call(result);
}

} // namespace figwinch
