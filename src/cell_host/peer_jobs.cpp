#include "cell_host/peer_jobs.h"

#include "cell_host/question_codec.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t most_readers_asked = 4;
// A host with a small share of a core may not get to answer for some tenths of a second.
constexpr duration ask_patience = std::chrono::milliseconds(600);
constexpr duration absence = std::chrono::seconds(2);

} // namespace

void peer_jobs::find(const job_id& id, instant end, job_handler done) {
    const auto call = std::make_shared<job_handler>(std::move(done));
    begin({id,
           end,
           [id, call](std::string_view reply) {
               const job_answer answer = decode_job_answer(id, reply);
               if (answer.known == job_answer::kind::cant_tell)
                   return false;
               (*call)(answer);
               return true;
           },
           [call] { (*call)({}); },
           {}});
}

void peer_jobs::count_waiting(const queue_name& queue, instant end, waiting_handler done) {
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

void peer_jobs::begin(question asked) {
    asked.end = std::min(asked.end, latest_end_);
    asked.left = readers_in_turn();
    ask_next(std::make_shared<question>(std::move(asked)));
}

/// The next one last: those that replied lately, then those near, each starting with another than
/// the question before.
std::vector<std::string> peer_jobs::readers_in_turn() {
    const instant now = with_.time.now();
    absl::erase_if(absent_, [now](const auto& entry) { return now >= entry.second; });
    std::vector<read_replica> readers = with_.role.readers().entries();
    if (!readers.empty()) {
        const auto turn = static_cast<std::ptrdiff_t>(turn_++ % readers.size());
        std::rotate(readers.begin(), readers.begin() + turn, readers.end());
    }
    std::ranges::stable_sort(readers, {}, [this](const read_replica& reader) {
        return std::tuple(absent_.contains(reader.bus_address),
                          reader.data_centre != with_.data_centre);
    });
    if (readers.size() > most_readers_asked)
        readers.resize(most_readers_asked);
    std::vector<std::string> addresses;
    addresses.reserve(readers.size());
    for (const read_replica& reader : readers)
        addresses.push_back(reader.bus_address);
    std::ranges::reverse(addresses);
    return addresses;
}

void peer_jobs::ask_next(const question_ptr& asked) {
    const duration left = asked->end - with_.time.now();
    if (asked->left.empty())
        with_.role.note_unanswered();
    if (asked->left.empty() || left <= duration::zero())
        return asked->give_up();
    const std::string reader = asked->left.back();
    asked->left.pop_back();
    const duration patience = std::min(left, ask_patience);
    with_.peers.ask(
        reader,
        encode_peer_message(peer_message::question, encode_question({patience, asked->about})),
        patience, [this, weak = std::weak_ptr(alive_), asked, reader](const auto& reply) {
            if (!weak.expired())
                take(asked, reader, reply);
        });
}

void peer_jobs::take(const question_ptr& asked, const std::string& reader,
                     const std::optional<std::string>& reply) {
    if (!reply) {
        absent_[reader] = with_.time.now() + absence;
        return ask_next(asked);
    }
    if (!asked->take(*reply))
        return ask_next(asked);
    with_.role.note_answered();
}

} // namespace figwinch
