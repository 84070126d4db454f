#include "cell_host/peer_job_lookup.h"

#include "cell_host/job_query_codec.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t max_replicas_asked = 4;
// A host with a small share of a core may need several tenths of a second to reply.
constexpr duration query_timeout = std::chrono::milliseconds(600);
constexpr duration unresponsive_backoff = std::chrono::seconds(2);

} // namespace

void peer_job_lookup::find(const job_id& id, instant end, job_handler done) {
    const auto call = std::make_shared<job_handler>(std::move(done));
    begin({id,
           end,
           [id, call](std::string_view reply) {
               const job_answer answer = decode_job_answer(id, reply);
               if (answer.outcome == job_answer::kind::undetermined)
                   return false;
               (*call)(answer);
               return true;
           },
           [call] { (*call)({}); },
           {}});
}

void peer_job_lookup::count_waiting(const queue_name& queue, instant end, waiting_handler done) {
    const auto call = std::make_shared<waiting_handler>(std::move(done));
    begin({queue,
           end,
           [call](std::string_view reply) {
               const std::optional<std::size_t> waiting = decode_waiting_answer(reply);
               if (!waiting)
                   return false;
               (*call)(waiting);
               return true;
           },
           [call] { (*call)(std::nullopt); },
           {}});
}

void peer_job_lookup::begin(query asked) {
    asked.end = std::min(asked.end, latest_deadline_);
    asked.replicas_left = replicas_to_ask();
    ask_next(std::make_shared<query>(std::move(asked)));
}

/// Returns the bus addresses of the replicas to ask, the next one last. Responsive ones come before
/// unresponsive ones, then those in this data centre before others; equals rotate from query to
/// query to spread the load.
std::vector<std::string> peer_job_lookup::replicas_to_ask() {
    const instant now = deps_.time.now();
    absl::erase_if(unresponsive_, [now](const auto& entry) { return now >= entry.second; });
    std::vector<read_replica> readers = deps_.role.readers().entries();
    if (!readers.empty()) {
        const auto turn = static_cast<std::ptrdiff_t>(turn_++ % readers.size());
        std::rotate(readers.begin(), readers.begin() + turn, readers.end());
    }
    std::ranges::stable_sort(readers, {}, [this](const read_replica& reader) {
        return std::tuple(unresponsive_.contains(reader.bus_address),
                          reader.data_centre != deps_.data_centre);
    });
    if (readers.size() > max_replicas_asked)
        readers.resize(max_replicas_asked);
    std::vector<std::string> addresses;
    addresses.reserve(readers.size());
    for (const read_replica& reader : readers)
        addresses.push_back(reader.bus_address);
    std::ranges::reverse(addresses);
    return addresses;
}

void peer_job_lookup::ask_next(const query_ptr& asked) {
    const duration left = asked->end - deps_.time.now();
    if (asked->replicas_left.empty())
        deps_.role.on_unanswered();
    if (asked->replicas_left.empty() || left <= duration::zero())
        return asked->give_up();
    const std::string reader = asked->replicas_left.back();
    asked->replicas_left.pop_back();
    const duration timeout = std::min(left, query_timeout);
    deps_.peers.ask(
        reader,
        encode_peer_message(peer_message::question, encode_job_query({timeout, asked->about})),
        timeout, [this, weak = std::weak_ptr(alive_), asked, reader](const auto& reply) {
            if (!weak.expired())
                handle_reply(asked, reader, reply);
        });
}

void peer_job_lookup::handle_reply(const query_ptr& asked, const std::string& reader,
                                   const std::optional<std::string>& reply) {
    if (!reply) {
        unresponsive_[reader] = deps_.time.now() + unresponsive_backoff;
        return ask_next(asked);
    }
    if (!asked->handle_reply(*reply))
        return ask_next(asked);
    deps_.role.on_answered();
}

} // namespace figwinch
