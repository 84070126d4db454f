#include "cell_host/cell_member.h"
#include "cell_host/follow_paces.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

// Together with the time after which a coordinator that can't order makes way this is well below a
// worker's lease.
constexpr duration time_aside = std::chrono::milliseconds(3000);

} // namespace

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
    orders_ = std::make_unique<order_router>(
        order_router::dependencies{time_, platform_.orders(), peers_},
        self_.str() + "/" + std::to_string(prepared_.value()), prepared_, place_.carries);
    roster_ = std::make_unique<replica_selector>(time_, place_.data_centre);
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
        [this](const outstanding_orders& orders) { coordinator_->take_outstanding(orders); });
}

std::string cell_member::take_step_down(std::string_view bytes) {
    const auto request = decode_step_down_request(bytes);
    if (!request || request->holder != self_ || request->successor <= request->epoch)
        return encode_outstanding(std::nullopt);
    if (coordinator_ && request->epoch == prepared_)
        end_reign();
    if (!ended_ || ended_->epoch != request->epoch)
        return encode_outstanding(std::nullopt);
    outstanding_orders orders = ended_->orders;
    for (held_worker& worker : orders.held)
        if (worker.left)
            *worker.left = std::max(duration::zero(), *worker.left - (time_.now() - ended_->at));
    return encode_outstanding(orders);
}

void cell_member::end_reign() {
    log_event(log_level::warn, "reign_ended",
              {{"epoch", static_cast<std::int64_t>(prepared_.value())}});
    if (reign_.epoch() == prepared_)
        reign_.yield();
    if (coordinator_)
        ended_ = ended_reign{prepared_, coordinator_->outstanding(), time_.now()};
    predecessor_.reset();
    coordinator_.reset();
    orders_.reset();
    roster_.reset();
    held_back_.clear();
    journal_.reset();
    intake_.set_pace(following_intake);
}

} // namespace figwinch
