#include "cell_host/cell_member.h"

#include "cell_host/stream_polling.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/link/peer_message.h"

#include <utility>

namespace figwinch {
namespace {

// A host that has had no answer from the log for this long doesn't accept jobs.
constexpr duration max_log_silence = std::chrono::milliseconds(1700);
// Timeout for asking read replicas whether a late append's records were stored.
constexpr duration lookup_timeout = std::chrono::milliseconds(450);
constexpr duration offer_period = std::chrono::milliseconds(500);

} // namespace

void cell_member::follow_jobs() {
    role_.tick(reign_.is_vacant());
    if (!keeps_replica()) {
        drop_replica();
        operators_.set_options(operators_polling_without_replica);
        return report_late_read(operators_, operators_polling_without_replica.wait);
    }
    operators_.set_options(operators_polling);
    if (!has_replica() && role_.awaits_assignment())
        return;
    replica_started_ = true;
    intake_.tick();
    // The coordinator alone writes the progress stream, so it needn't read it. Until the
    // coordinator is running, a read may have to be retried.
    if (!coordinator_)
        follow_progress();
}

void cell_member::follow_progress() {
    progress_.tick();
    report_late_read(progress_, follower_progress_polling.min_period);
}

void cell_member::report_late_read(const keyed_follower& follower, duration period) {
    const duration since_answer = time_.now() - follower.answered_at();
    if (follower.is_loaded() && !follower.is_failing())
        writer_.report_late_read(since_answer - period);
}

bool cell_member::keeps_replica() const {
    return role_.is_replica() || reign_.is_leader() || progress_writer_ != nullptr;
}

void cell_member::drop_replica() {
    if (!replica_started_)
        return;
    replica_started_ = false;
    intake_.reset(time_.now());
    progress_.reset(time_.now());
    state_.clear();
}

/// Finds out whether a late append's records were stored, from this host's read replica or from
/// another host's.
void cell_member::look_up(const std::vector<std::string>& keys, const std::function<void()>& done) {
    if (!keeps_replica())
        return look_up_remotely(keys, done);
    intake_.sync([done](bool) { done(); });
}

void cell_member::look_up_remotely(const std::vector<std::string>& keys,
                                   const std::function<void()>& done) {
    const auto left = std::make_shared<std::size_t>(keys.size());
    for (const std::string& key : keys) {
        const bool is_job = key.front() == static_cast<char>(record_kind::job);
        peer_jobs_.find(job_id(key.substr(1)), time_.now() + lookup_timeout,
                        [this, key, is_job, left, done](const job_answer& answer) {
                            const bool found = answer.outcome == job_answer::kind::found &&
                                               (is_job || answer.job.cancel_wanted);
                            if (found)
                                writer_.on_record_read({key, "", 0});
                            if (--*left == 0)
                                done();
                        });
    }
}

/// Offers this host to the coordinator as a relay, or announces that it is about to stop.
void cell_member::offer_relay() {
    const std::optional<leader_info>& reign = reign_.current_leader();
    if (!reign || reign->holder == self_)
        return;
    const instant now = time_.now();
    const bool has_changed =
        reign->bus_address != offer_address_ || reign_.has_resigned() != offered_leaving_;
    if (!has_changed && now < next_offer_)
        return;
    offer_address_ = reign->bus_address;
    offered_leaving_ = reign_.has_resigned();
    next_offer_ = now + offer_period;
    const relay_offer offer{self_,
                            info_.bus_address,
                            info_.data_centre,
                            info_.relay_capacity,
                            offered_leaving_,
                            has_replica(),
                            role_.readers().digest()};
    peers_.ask(offer_address_, encode_peer_message(peer_message::offer, encode_offer(offer)),
               offer_period, [this, weak = std::weak_ptr(alive_)](const auto& reply) {
                   if (!weak.expired())
                       handle_offer_reply(reply);
               });
}

void cell_member::handle_offer_reply(const std::optional<std::string>& bytes) {
    if (!bytes)
        return;
    if (const std::optional<offer_reply> reply = decode_offer_reply(*bytes))
        role_.apply(*reply);
}

std::string cell_member::handle_offer(std::string_view bytes) {
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
    const keyed_follower& newest = has_replica() ? of_jobs : operators_;
    return !newest.is_failing() && time_.now() - newest.answered_at() < max_log_silence;
}

} // namespace figwinch
