#include "cell_host/cell_member.h"

#include "cell_host/follow_paces.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <cmath>
#include <utility>

namespace figwinch {
namespace {

// What a coordinator decides waits half of this on average; each tick costs a wake-up.
constexpr duration leading_tick = std::chrono::milliseconds(8);
constexpr duration following_tick = std::chrono::milliseconds(25);
// A coordinator that the log confirms and that may order nothing makes way for another.
constexpr duration longest_unused = std::chrono::milliseconds(4000);
// A page of jobs may wait so long behind those of other hosts.
constexpr duration longest_silence = std::chrono::seconds(2);
constexpr duration forget_patience = std::chrono::seconds(30);

/// Hosts that may coordinate load first, so that the others find some to ask. The more hosts there
/// are, the fewer of them begin at once; one of a few begins before a vacant reign can be claimed.
duration load_delay(double cpu_share, const incarnation_id& self) {
    constexpr double most_delayed = 3;
    constexpr double range = 18446744073709551616.0;
    if (modesty_of(cpu_share) == duration::zero())
        return duration::zero();
    const double drawn = static_cast<double>(stable_hash(self.str())) / range;
    const std::chrono::duration<double> delay(most_delayed * std::sqrt(drawn));
    return std::chrono::duration_cast<duration>(delay);
}

reign_times times_of(double cpu_share) {
    reign_times times;
    times.modesty = modesty_of(cpu_share);
    return times;
}

} // namespace

cell_member::cell_member(const clock& time, cell_platform& platform, peer_client& peers,
                         const cell_settings& settings, incarnation_id self, member_place place,
                         double cpu_share)
    : time_(time), platform_(platform), peers_(peers), settings_(settings), self_(std::move(self)),
      place_(std::move(place)), listing_(platform),
      operators_(time, platform.log(), cell_stream::operators, operators_pace,
                 [this](const stored_record& record) { take_operators(record); }),
      workers_(time, platform.log(), cell_stream::workers, workers_pace,
               [this](const stored_record& record) { listing_.take(record); }),
      intake_(time, platform.log(), cell_stream::intake, following_intake,
              [this](const stored_record& record) {
                  state_.apply(cell_stream::intake, record);
                  writer_.note_read(record);
              }),
      progress_(
          time, platform.log(), cell_stream::progress, following_progress,
          [this](const stored_record& record) { state_.apply(cell_stream::progress, record); }),
      role_(time, self_),
      own_jobs_(time, state_,
                [this](const std::function<void(bool)>& done) { intake_.sync(done); }),
      others_jobs_({time, peers, role_, place_.data_centre}),
      jobs_(own_jobs_, others_jobs_,
            [this] { return has_copy() || role_.readers().entries().empty(); }),
      questions_(time, own_jobs_, [this] { return has_copy(); }),
      writer_({time, platform.log(),
               [this](const stored_record& record) {
                   if (!keeps_copy())
                       return;
                   state_.apply(cell_stream::intake, record);
                   intake_.skip(record);
               },
               [this] { return log_answers(); },
               [this](const std::vector<std::string>& keys, const std::function<void()>& done) {
                   look_for(keys, done);
               }}),
      reign_(time, platform.log(), self_, place_.bus_address, times_of(cpu_share)),
      link_server_(time, platform.orders()) {
    for (keyed_follower* const follower : {&intake_, &progress_}) {
        follower->wait_longer(longest_silence);
        follower->reset(time.now() + load_delay(cpu_share, self_));
    }
    state_.on_intake([this](const job_entry& job) {
        if (coordinator_)
            held_back_.push_back(job.id);
    });
}

duration cell_member::tick() {
    operators_.tick();
    follow_jobs();
    jobs_.tick();
    writer_.tick();
    reign_.stand(can_coordinate());
    reign_.tick();
    if (!reign_.leads() || is_useful())
        useful_at_ = time_.now();
    else if (reign_.is_fresh() && time_.now() - useful_at_ > longest_unused)
        step_aside();
    if (journal_ && (deposed_ || !reign_.leads() || reign_.epoch() != prepared_))
        end_reign();
    if (reign_.leads())
        lead();
    else
        offer_link();
    return journal_ ? leading_tick : following_tick;
}

void cell_member::resign() {
    reign_.resign();
    if (journal_)
        end_reign();
}

void cell_member::take_operators(const stored_record& record) {
    if (const auto data_centre = platform_.evacuated_by(record.key)) {
        if (record.value)
            evacuated_.insert(*data_centre);
        else
            evacuated_.erase(*data_centre);
        log_event(log_level::info, "data_centre_changed",
                  {{"data_centre", data_centre->str()}, {"taken_out", record.value.has_value()}});
        if (coordinator_)
            coordinator_->take_evacuated(evacuated_);
        return;
    }
    if (!platform_.is_config_key(record.key) || !record.value)
        return;
    std::optional<cell_config> config = platform_.decode_config(*record.value);
    if (!config) {
        log_event(log_level::error, "config_unreadable", {});
        return;
    }
    // A version never goes back, whatever order records are read in.
    if (config_ && config->version <= config_->version)
        return;
    config_ = std::move(*config);
    log_event(log_level::info, "config_in_force",
              {{"version", static_cast<std::int64_t>(config_->version.value())},
               {"queues", static_cast<std::int64_t>(config_->queues.size())}});
    if (coordinator_)
        coordinator_->take_config(*config_);
}

void cell_member::pass_listing() {
    if (listing_.take_changed())
        coordinator_->take_listing(listing_.rows());
}

void cell_member::forget_job(const job_id& id, const std::function<void()>& done) {
    std::vector<stored_record> drops;
    drops.push_back({record_key(record_kind::job, id.str()), std::nullopt, 0});
    drops.push_back({record_key(record_kind::cancellation, id.str()), std::nullopt, 0});
    writer_.write(std::move(drops), time_.now() + forget_patience,
                  [this, id, done](intake_outcome outcome, std::uint64_t) {
                      if (outcome == intake_outcome::stored)
                          done();
                      else if (coordinator_)
                          forget_job(id, done);
                  });
}

} // namespace figwinch
