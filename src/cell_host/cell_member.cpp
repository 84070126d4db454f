#include "cell_host/cell_member.h"

#include "cell_host/follow_paces.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figwinch {
namespace {

// What a coordinator decides waits half of this on average; each tick costs a wake-up.
constexpr duration leading_tick = std::chrono::milliseconds(8);
constexpr duration following_tick = std::chrono::milliseconds(25);
// A coordinator that the log confirms and that may order nothing makes way for another. Together
// with the time for which it leaves the reign to others this is well below a worker's lease.
constexpr duration longest_unused = std::chrono::milliseconds(4000);
constexpr duration time_aside = std::chrono::milliseconds(3000);
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

cell_member::cell_member(const clock& time, cell_platform& platform, peer_asker& peers,
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
            [this] { return has_copy() || role_.readers().places().empty(); }),
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

/// Renewals are small and pass where loads don't: a host that claimed before it has loaded would
/// keep the reign from those that have.
bool cell_member::can_coordinate() const {
    return intake_.is_loaded() && progress_.is_loaded() && time_.now() >= aside_until_;
}

bool cell_member::is_useful() const {
    return coordinator_ && sees_notices();
}

void cell_member::step_aside() {
    log_event(log_level::warn, "reign_unused",
              {{"epoch", static_cast<std::int64_t>(reign_.epoch().value())},
               {"begun", coordinator_ != nullptr},
               {"workers_age_ms", workers_age() / std::chrono::milliseconds(1)},
               {"operators_age_ms", operators_age() / std::chrono::milliseconds(1)}});
    aside_until_ = time_.now() + time_aside;
    reign_.yield();
}

void cell_member::lead() {
    workers_.tick();
    if (!journal_ && intake_.is_loaded() && progress_.is_loaded())
        begin_reign();
    if (!journal_)
        return;
    journal_->tick();
    if (!coordinator_)
        return;
    if (predecessor_)
        predecessor_->tick();
    pass_listing();
    // New jobs wait while the log doesn't confirm the reign (see `fresh_reign`).
    intake_.set_pace(reign_.is_fresh() ? leading_intake : following_intake);
    pass_intake();
    note_view();
    coordinator_->tick();
    journal_->tick();
    orders_->tick();
}

bool cell_member::sees_notices() const {
    return workers_age() < settings_.leave_notice - order_way &&
           operators_age() < settings_.evacuation_notice - order_way;
}

void cell_member::note_view() {
    const bool old = !sees_notices();
    if (old == std::exchange(view_is_old_, old))
        return;
    const std::int64_t workers_ms = workers_age() / std::chrono::milliseconds(1);
    const std::int64_t operators_ms = operators_age() / std::chrono::milliseconds(1);
    if (old)
        log_event(log_level::warn, "view_old",
                  {{"workers_age_ms", workers_ms}, {"operators_age_ms", operators_ms}});
    else
        log_event(log_level::info, "view_current",
                  {{"workers_age_ms", workers_ms}, {"operators_age_ms", operators_ms}});
}

/// New jobs wait while the log doesn't confirm the reign. A coordinator that was parted from the
/// log reads what came meanwhile before it learns that it has been followed; its successor starts
/// those jobs without asking the workers that it can't reach.
void cell_member::pass_intake() {
    if (!reign_.is_fresh())
        return;
    for (const job_id& id : std::exchange(held_back_, {}))
        if (const job_entry* const job = state_.find(id))
            coordinator_->take_intake(*job);
}

/// Fences the predecessor first, so that what is read after it is all that it ever wrote.
void cell_member::begin_reign() {
    prepared_ = reign_.epoch();
    deposed_ = false;
    journal_ = std::make_unique<progress_writer>(
        time_, platform_.log(), prepared_,
        [this](const stored_record& record) {
            state_.apply(cell_stream::progress, record);
            progress_.skip(record);
        },
        [this] { deposed_ = true; });
    journal_->fence([this, epoch = prepared_](std::uint64_t) {
        progress_.sync([this, epoch](bool progress_read) {
            intake_.sync([this, epoch, progress_read](bool intake_read) {
                if (epoch == prepared_ && journal_)
                    start_coordinator(progress_read && intake_read);
            });
        });
    });
}

void cell_member::start_coordinator(bool state_read) {
    if (!state_read) {
        deposed_ = true;
        return;
    }
    orders_ = std::make_unique<linked_orders>(
        linked_orders::parts{time_, platform_.orders(), peers_},
        self_.str() + "/" + std::to_string(prepared_.value()), prepared_, place_.carries);
    roster_ = std::make_unique<reader_roster>(time_, place_.data_centre);
    coordinator_ = coordinator::create(
        {time_, *orders_, platform_.advisor(), *journal_, [this] { return reign_.confirmed_at(); },
         [this] { return sees_notices(); }, [this] { deposed_ = true; },
         [this](const job_id& id, const std::function<void()>& done) { forget_job(id, done); }},
        settings_, prepared_,
        {reign_.follows_resignation(), reign_.predecessors_acted_until(),
         reign_.predecessors_prolonged_until()},
        state_);
    if (config_)
        coordinator_->take_config(*config_);
    coordinator_->take_evacuated(evacuated_);
    listing_.take_changed();
    coordinator_->take_listing(listing_.rows());
    ask_predecessor();
}

/// It may act on without the log for seconds, and it alone knows what it has ordered.
void cell_member::ask_predecessor() {
    const std::optional<reign_view>& before = reign_.predecessor();
    if (!before || before->holder == self_ || coordinator_->counts().workers_unresolved == 0)
        return;
    predecessor_ = std::make_unique<predecessor_asker>(
        time_, peers_, *before, prepared_, reign_.predecessors_acted_until(),
        [this](const reign_estate& estate) { coordinator_->take_estate(estate); });
}

std::string cell_member::take_succession(std::string_view bytes) {
    const auto question = decode_succession_question(bytes);
    if (!question || question->holder != self_ || question->successor <= question->epoch)
        return encode_estate(std::nullopt);
    if (coordinator_ && question->epoch == prepared_)
        end_reign();
    if (!ended_ || ended_->epoch != question->epoch)
        return encode_estate(std::nullopt);
    reign_estate estate = ended_->estate;
    for (held_worker& worker : estate.held)
        if (worker.left)
            *worker.left = std::max(duration::zero(), *worker.left - (time_.now() - ended_->at));
    return encode_estate(estate);
}

void cell_member::end_reign() {
    log_event(log_level::warn, "reign_ended",
              {{"epoch", static_cast<std::int64_t>(prepared_.value())}});
    if (reign_.epoch() == prepared_)
        reign_.yield();
    if (coordinator_)
        ended_ = ended_reign{prepared_, coordinator_->estate(), time_.now()};
    predecessor_.reset();
    coordinator_.reset();
    orders_.reset();
    roster_.reset();
    held_back_.clear();
    journal_.reset();
    intake_.set_pace(following_intake);
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
