#include "cell_host/cell_member.h"

#include "cell_host/follow_paces.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

// A host that the log hasn't answered for so long can't accept jobs.
constexpr duration log_silence = std::chrono::milliseconds(1700);
// How long others are asked for a late append's records.
constexpr duration look_patience = std::chrono::milliseconds(450);
constexpr duration offer_period = std::chrono::milliseconds(500);

} // namespace

void cell_member::follow_jobs() {
    role_.tick(reign_.is_vacant());
    if (!keeps_copy()) {
        drop_copy();
        operators_.set_pace(asking_operators);
        return note_late_read(operators_, asking_operators.wait);
    }
    operators_.set_pace(operators_pace);
    if (!has_copy() && role_.awaits_word())
        return;
    has_state_ = true;
    intake_.tick();
    // A coordinator writes the stream itself; until it has begun, a read may have to be tried
    // again.
    if (!coordinator_)
        follow_progress();
}

void cell_member::follow_progress() {
    progress_.tick();
    note_late_read(progress_, following_progress.period);
}

void cell_member::note_late_read(const keyed_follower& follower, duration period) {
    const duration since_answer = time_.now() - follower.answered_at();
    if (follower.is_loaded() && !follower.is_failing())
        writer_.note_late_read(since_answer - period);
}

bool cell_member::keeps_copy() const {
    return role_.reads() || reign_.leads() || journal_ != nullptr;
}

void cell_member::drop_copy() {
    if (!has_state_)
        return;
    has_state_ = false;
    intake_.reset(time_.now());
    progress_.reset(time_.now());
    state_.clear();
}

/// What a late append's records became: this host's copy shows it, or another's.
void cell_member::look_for(const std::vector<std::string>& keys,
                           const std::function<void()>& done) {
    if (!keeps_copy())
        return ask_for(keys, done);
    intake_.sync([done](bool) { done(); });
}

void cell_member::ask_for(const std::vector<std::string>& keys, const std::function<void()>& done) {
    const auto left = std::make_shared<std::size_t>(keys.size());
    for (const std::string& key : keys) {
        const bool is_job = key.front() == static_cast<char>(record_kind::job);
        others_jobs_.find(job_id(key.substr(1)), time_.now() + look_patience,
                          [this, key, is_job, left, done](const job_answer& told) {
                              const bool found = told.known == job_answer::kind::found &&
                                                 (is_job || told.job.cancel_wanted);
                              if (found)
                                  writer_.note_read({key, "", 0});
                              if (--*left == 0)
                                  done();
                          });
    }
}

/// Tells the coordinator that this host can pass orders on, or that it is about to stop.
void cell_member::offer_link() {
    const std::optional<reign_view>& reign = reign_.current();
    if (!reign || reign->holder == self_)
        return;
    const instant now = time_.now();
    const bool is_news =
        reign->bus_address != offered_to_ || reign_.has_resigned() != offered_leaving_;
    if (!is_news && now < next_offer_)
        return;
    offered_to_ = reign->bus_address;
    offered_leaving_ = reign_.has_resigned();
    next_offer_ = now + offer_period;
    const relay_offer offer{
        self_,      place_.bus_address,      place_.data_centre, place_.carries, offered_leaving_,
        has_copy(), role_.readers().digest()};
    peers_.ask(offered_to_, encode_peer_message(peer_message::offer, encode_offer(offer)),
               offer_period, [this, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired())
                       take_offer_reply(reply);
               });
}

void cell_member::take_offer_reply(const std::optional<std::string>& bytes) {
    if (!bytes)
        return;
    if (const std::optional<offer_reply> reply = decode_offer_reply(*bytes))
        role_.take(*reply);
}

std::string cell_member::take_offer(std::string_view bytes) {
    const std::optional<relay_offer> offer = decode_offer(bytes);
    if (!offer || !orders_)
        return encode_offer_reply({});
    offer_reply reply = roster_->apply_offer(*offer);
    reply.used_as_relay = orders_->apply_offer(*offer);
    return encode_offer_reply(reply);
}

bool cell_member::log_answers() const {
    const keyed_follower& of_jobs =
        progress_.answered_at() > intake_.answered_at() ? progress_ : intake_;
    const keyed_follower& newest = has_copy() ? of_jobs : operators_;
    return !newest.is_failing() && time_.now() - newest.answered_at() < log_silence;
}

} // namespace figwinch
