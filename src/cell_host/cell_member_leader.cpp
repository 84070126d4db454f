#include "cell_host/cell_member.h"
#include "cell_host/stream_polling.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

// How long a leader that stepped down because it couldn't send orders stays out of elections. Kept
// short, as is the time before it steps down, because workers' leases run meanwhile.
constexpr duration ineligible_period = std::chrono::milliseconds(3000);
// A resignation of this size passes a link of 1 Mbit/s in about half a second, and holds the rows
// of some 1,500 workers.
constexpr std::size_t max_account_bytes = std::size_t{64} * 1024;

/// Takes the time that has passed off the times that are left.
void reduce_times(outstanding_orders& orders, duration passed) {
    for (unresolved_worker& worker : orders.unresolved_workers)
        if (worker.expires_in)
            *worker.expires_in = std::max(duration::zero(), *worker.expires_in - passed);
}

} // namespace

/// Only hosts with loaded state stand for election. Lease renewals are small and succeed on links
/// where snapshot loads don't, so a host elected before its load could stay leader without ever
/// being able to coordinate, and block the hosts that are.
bool cell_member::is_eligible() const {
    return intake_.is_loaded() && progress_.is_loaded() && time_.now() >= ineligible_until_;
}

bool cell_member::can_send_orders() const {
    return coordinator_ && is_view_fresh();
}

void cell_member::yield_leadership() {
    log_event(log_level::warn, "reign_unused",
              {{"epoch", static_cast<std::int64_t>(reign_.epoch().value())},
               {"begun", coordinator_ != nullptr},
               {"workers_age_ms", workers_age() / std::chrono::milliseconds(1)},
               {"operators_age_ms", operators_age() / std::chrono::milliseconds(1)}});
    ineligible_until_ = time_.now() + ineligible_period;
    reign_.step_down();
}

void cell_member::tick_leader() {
    workers_.tick();
    if (!progress_writer_ && intake_.is_loaded() && progress_.is_loaded())
        begin_term();
    if (!progress_writer_)
        return;
    progress_writer_->tick();
    if (!coordinator_)
        return;
    if (predecessor_asker_)
        predecessor_asker_->tick();
    pass_worker_list();
    // New jobs wait while the log doesn't confirm the leadership lease (see
    // `max_confirmation_age`).
    intake_.set_options(reign_.is_confirmed() ? leader_intake_polling : follower_intake_polling);
    pass_new_jobs();
    log_view_change();
    coordinator_->tick();
    progress_writer_->tick();
    orders_->tick();
}

bool cell_member::is_view_fresh() const {
    return workers_age() < settings_.leave_notice - order_delivery_time &&
           operators_age() < settings_.evacuation_notice - order_delivery_time;
}

bool cell_member::has_current_capacities() const {
    return workers_age() < settings_.shrink_notice - start_validity;
}

void cell_member::log_view_change() {
    const bool old = !is_view_fresh();
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

/// Passes new jobs to the coordinator, but only while the log confirms the leadership lease. A
/// coordinator cut off from the log for a time may read the jobs accepted meanwhile before it
/// learns that it has a successor, and the successor starts those jobs without checking workers
/// that it can't reach.
void cell_member::pass_new_jobs() {
    if (!reign_.is_confirmed())
        return;
    for (const job_id& id : std::exchange(new_jobs_, {}))
        if (const job_entry* const job = state_.find(id))
            coordinator_->apply_intake(*job);
}

/// Sets up a leadership term. Fences the predecessor's epoch first, so that the reads that follow
/// see everything the predecessor ever wrote.
void cell_member::begin_term() {
    term_epoch_ = reign_.epoch();
    term_lost_ = false;
    progress_writer_ = std::make_unique<progress_writer>(
        time_, platform_.log(), term_epoch_, record_limits(settings_.max_record_bytes),
        [this](const stored_record& record) {
            state_.apply(cell_stream::progress, record);
            progress_.on_own_append(record);
        },
        [this] { term_lost_ = true; });
    progress_writer_->fence([this, epoch = term_epoch_](std::uint64_t) {
        progress_.sync([this, epoch](bool progress_read) {
            intake_.sync([this, epoch, progress_read](bool intake_read) {
                if (epoch == term_epoch_ && progress_writer_)
                    start_coordinator(progress_read && intake_read);
            });
        });
    });
}

void cell_member::start_coordinator(bool state_read) {
    if (!state_read) {
        term_lost_ = true;
        return;
    }
    orders_ = std::make_unique<order_router>(
        order_router::dependencies{time_, platform_.orders(), peers_},
        self_.str() + "/" + std::to_string(term_epoch_.value()), term_epoch_, info_.relay_capacity);
    roster_ = std::make_unique<replica_selector>(time_, info_.data_centre);
    coordinator_ = coordinator::create(
        {time_, *orders_, platform_.advisor(), *progress_writer_,
         [this] { return reign_.confirmed_at(); }, [this] { return is_view_fresh(); },
         [this] { return has_current_capacities(); }, [this] { term_lost_ = true; },
         [this](const job_id& id, const std::function<void()>& done) {
             delete_job_records(id, done);
         }},
        settings_, term_epoch_,
        {reign_.predecessor_has_ended(), reign_.predecessors_acted_until(),
         reign_.predecessors_renewed_leases_until()},
        state_);
    if (config_)
        coordinator_->apply_config(*config_);
    coordinator_->update_evacuated(evacuated_);
    worker_list_.poll_changed();
    coordinator_->update_workers(worker_list_.listings());
    ask_predecessor();
    apply_resignation();
}

/// Applies what the predecessor knew of workers that did not answer it. Without that, the wait for
/// their leases would begin anew with each planned restart.
void cell_member::apply_resignation() {
    if (const std::optional<outstanding_orders> orders = inherited_account())
        coordinator_->apply_outstanding(*orders);
}

/// Returns what the predecessor knew of workers out of reach, as of now, if it resigned. A host
/// whose claim is under way has the newest term for predecessor.
std::optional<outstanding_orders> cell_member::inherited_account() const {
    const std::optional<resigned_term>& resigned =
        reign_.is_leader() ? reign_.resigned_predecessor() : reign_.last_resignation();
    std::optional<outstanding_orders> orders =
        resigned ? decode_outstanding(resigned->outstanding) : std::nullopt;
    if (orders)
        reduce_times(*orders, time_.now() - resigned->written_by);
    return orders;
}

/// Returns the encoded account that a resignation leaves. A leader that hasn't begun to coordinate
/// sent no orders, so its predecessor's account still holds.
std::string cell_member::account_for_successor() const {
    const std::optional<outstanding_orders> account =
        coordinator_ ? coordinator_->outstanding_unreachable() : inherited_account();
    // The rest of the record is the host's name and address.
    const std::size_t max_bytes = std::min(max_account_bytes, settings_.max_record_bytes / 2);
    return account ? encode_outstanding_within(*account, max_bytes) : "";
}

/// Asks the predecessor to step down. It may go on for seconds without the log, and it alone knows
/// which orders it has sent.
void cell_member::ask_predecessor() {
    const std::optional<leader_info>& before = reign_.predecessor();
    if (!before || before->holder == self_ || coordinator_->counts().workers_unresolved == 0)
        return;
    predecessor_asker_ = std::make_unique<predecessor_asker>(
        time_, peers_, *before, term_epoch_, reign_.predecessors_acted_until(),
        [this](const outstanding_orders& orders) { coordinator_->apply_outstanding(orders); });
}

std::string cell_member::handle_step_down(std::string_view bytes) {
    const auto request = decode_step_down_request(bytes);
    if (!request || request->holder != self_ || request->successor <= request->epoch)
        return encode_outstanding(std::nullopt);
    if (coordinator_ && request->epoch == term_epoch_)
        end_term();
    if (!ended_term_ || ended_term_->epoch != request->epoch)
        return encode_outstanding(std::nullopt);
    outstanding_orders orders = ended_term_->orders;
    reduce_times(orders, time_.now() - ended_term_->at);
    return encode_outstanding(orders);
}

void cell_member::end_term() {
    log_event(log_level::warn, "reign_ended",
              {{"epoch", static_cast<std::int64_t>(term_epoch_.value())}});
    if (reign_.epoch() == term_epoch_)
        reign_.step_down();
    if (coordinator_)
        ended_term_ = ended_term{term_epoch_, coordinator_->outstanding(), time_.now()};
    predecessor_asker_.reset();
    coordinator_.reset();
    orders_.reset();
    roster_.reset();
    new_jobs_.clear();
    progress_writer_.reset();
    intake_.set_options(follower_intake_polling);
}

} // namespace figwinch
