#include "cell_host/cell_member.h"

#include "cell_host/stream_polling.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <cmath>
#include <utility>

namespace figwinch {
namespace {

// Tick period of the coordinator: its decisions wait half of it on average, and each tick costs a
// wake-up.
constexpr duration leader_tick_period = std::chrono::milliseconds(8);
constexpr duration follower_tick_period = std::chrono::milliseconds(25);
// A leader whose lease the log renews, but which hasn't been able to send orders for this long,
// steps down in favour of another host.
constexpr duration max_time_without_orders = std::chrono::milliseconds(4000);
// Timeout of a read during a snapshot load: its page may queue this long behind the pages of other
// hosts.
constexpr duration max_load_timeout = std::chrono::seconds(2);
constexpr duration delete_timeout = std::chrono::seconds(30);

/// Delay before the first snapshot load. Hosts with enough CPU to be preferred as coordinator load
/// at once, so that the others find replicas to query. The others spread by a hash of their ID; the
/// square root lets only a small part of many hosts begin early, while in a cell of few hosts one
/// still begins before a vacant leadership can be claimed.
duration load_delay(double cpu_share, const incarnation_id& self) {
    constexpr double max_delay_s = 3;
    constexpr double range = 18446744073709551616.0;
    if (claim_delay_for(cpu_share) == duration::zero())
        return duration::zero();
    const double fraction = static_cast<double>(stable_hash(self.str())) / range;
    const std::chrono::duration<double> delay(max_delay_s * std::sqrt(fraction));
    return std::chrono::duration_cast<duration>(delay);
}

election_timing election_times(double cpu_share) {
    election_timing times;
    times.claim_delay = claim_delay_for(cpu_share);
    return times;
}

} // namespace

cell_member::cell_member(const clock& time, cell_platform& platform, peer_client& peers,
                         const cell_settings& settings, incarnation_id self, member_info info,
                         double cpu_share)
    : time_(time), platform_(platform), peers_(peers), settings_(settings), self_(std::move(self)),
      info_(std::move(info)), worker_list_(time, platform),
      operators_(time, platform.log(), cell_stream::operators, operators_polling,
                 [this](const stored_record& record) { apply_operator_record(record); }),
      workers_(time, platform.log(), cell_stream::workers, workers_polling,
               [this](const stored_record& record) { worker_list_.apply(record); }),
      intake_(time, platform.log(), cell_stream::intake, follower_intake_polling,
              [this](const stored_record& record) {
                  state_.apply(cell_stream::intake, record);
                  writer_.on_record_read(record);
              }),
      progress_(
          time, platform.log(), cell_stream::progress, follower_progress_polling,
          [this](const stored_record& record) { state_.apply(cell_stream::progress, record); }),
      role_(time, self_), local_jobs_(time, state_, intake_),
      peer_jobs_({time, peers, role_, info_.data_centre}),
      jobs_(local_jobs_, peer_jobs_,
            [this] { return has_replica() || role_.readers().entries().empty(); }),
      query_server_(time, local_jobs_, [this] { return has_replica(); }),
      writer_({time, platform.log(), record_limits(settings.max_record_bytes),
               [this](const stored_record& record) {
                   if (!keeps_replica())
                       return;
                   state_.apply(cell_stream::intake, record);
                   intake_.on_own_append(record);
               },
               [this] { return log_answers(); },
               [this](const std::vector<std::string>& keys, const std::function<void()>& done) {
                   look_up(keys, done);
               }}),
      reign_(time, platform.log(), self_, info_.bus_address, election_times(cpu_share)),
      link_server_(time, platform.orders()) {
    for (keyed_follower* const follower : {&intake_, &progress_}) {
        follower->set_max_read_timeout(max_load_timeout);
        follower->reset(time.now() + load_delay(cpu_share, self_));
    }
    state_.set_intake_callback([this](const job_entry& job) {
        if (coordinator_)
            new_jobs_.push_back(job.id);
    });
}

duration cell_member::tick() {
    operators_.tick();
    follow_jobs();
    jobs_.tick();
    writer_.tick();
    reign_.set_candidate(is_eligible());
    reign_.tick();
    if (!reign_.is_leader() || can_send_orders())
        could_send_orders_at_ = time_.now();
    else if (reign_.is_confirmed() && time_.now() - could_send_orders_at_ > max_time_without_orders)
        yield_leadership();
    if (progress_writer_ && (term_lost_ || !reign_.is_leader() || reign_.epoch() != term_epoch_))
        end_term();
    if (reign_.is_leader())
        tick_leader();
    else
        offer_relay();
    return progress_writer_ ? leader_tick_period : follower_tick_period;
}

void cell_member::resign() {
    reign_.resign(account_for_successor());
    if (progress_writer_)
        end_term();
}

void cell_member::apply_operator_record(const stored_record& record) {
    if (const auto data_centre = platform_.evacuated_by(record.key)) {
        if (record.value)
            evacuated_.insert(*data_centre);
        else
            evacuated_.erase(*data_centre);
        log_event(log_level::info, "data_centre_changed",
                  {{"data_centre", data_centre->str()}, {"taken_out", record.value.has_value()}});
        if (coordinator_)
            coordinator_->update_evacuated(evacuated_);
        return;
    }
    if (!platform_.is_config_key(record.key) || !record.value)
        return;
    std::optional<cell_config> config = platform_.decode_config(*record.value);
    if (!config) {
        log_event(log_level::error, "config_unreadable", {});
        return;
    }
    // Records may be read out of order; an older version never replaces a newer one.
    if (config_ && config->version <= config_->version)
        return;
    config_ = std::move(*config);
    log_event(log_level::info, "config_in_force",
              {{"version", static_cast<std::int64_t>(config_->version.value())},
               {"queues", static_cast<std::int64_t>(config_->queues.size())}});
    if (coordinator_)
        coordinator_->apply_config(*config_);
}

void cell_member::pass_worker_list() {
    if (worker_list_.poll_changed())
        coordinator_->update_workers(worker_list_.listings());
}

void cell_member::delete_job_records(const job_id& id, const std::function<void()>& done) {
    std::vector<stored_record> drops;
    drops.push_back({record_key(record_kind::job, id.str()), std::nullopt, 0});
    drops.push_back({record_key(record_kind::cancellation, id.str()), std::nullopt, 0});
    writer_.write(std::move(drops), time_.now() + delete_timeout,
                  [this, id, done](intake_outcome outcome, std::uint64_t) {
                      if (outcome == intake_outcome::stored)
                          done();
                      else if (coordinator_)
                          delete_job_records(id, done);
                  });
}

} // namespace figwinch
