#include "scheduler/scheduler_core.h"

#include <algorithm>

namespace figwinch {

scheduler_core::scheduler_core(scheduler_settings with, const config_view& config,
                               scheduler_policies policies, instant now)
    : with_(std::move(with)), config_(config), policies_(policies), self_(with_.self.incarnation),
      started_at_(now), now_(now), evidence_(with_.freshness), fold_(this, with_.keep_done_jobs),
      leases_(with_.leases, with_.self.node, self_, *this),
      writer_(self_, with_.self.data_centre, with_.flush_every, with_.append_retry),
      pacer_(with_.max_start_rate, with_.first_start_rate, with_.start_ramp),
      schedulers_changed_at_(now) {
    leases_.set_schedulers({with_.self.node}, now);
    on_config(now);
}

void scheduler_core::on_config(instant now) {
    now_ = now;
    const auto config = config_.current();
    if (!config)
        return;
    std::vector<worker_spec> own;
    for (const worker_spec& worker : config->workers) {
        if (worker.data_centre == with_.self.data_centre)
            own.push_back(worker);
    }
    leases_.set_workers(own, now);
    const bool in = centre_in_service(with_.self.data_centre);
    if (in && !centre_was_in_)
        pacer_.begin_ramp(now);
    centre_was_in_ = in;
    for (const auto& [name, worker] : leases_.workers())
        police(name);
    next_ownership_ = now;
}

void scheduler_core::on_members(const std::vector<member>& members, instant now) {
    now_ = now;
    members_ = members;
    std::vector<node_id> live;
    if (!stopping_)
        live.push_back(with_.self.node);
    for (const member* peer : live_schedulers(with_.self.data_centre))
        live.push_back(peer->node);
    std::ranges::sort(live);
    live.erase(std::unique(live.begin(), live.end()), live.end());
    leases_.set_schedulers(live, now);
    std::erase_if(peer_rooms_, [&members](const auto& known) {
        return std::ranges::find(members, known.first, &member::incarnation) == members.end();
    });
    if (live != schedulers_) {
        schedulers_ = std::move(live);
        schedulers_changed_at_ = now;
    }
}

std::vector<const member*> scheduler_core::live_schedulers(const data_centre_id& centre) const {
    std::vector<const member*> live;
    for (const member& peer : members_) {
        if (peer.role == member_role::scheduler && peer.data_centre == centre &&
            peer.state == member_state::live)
            live.push_back(&peer);
    }
    return live;
}

bool scheduler_core::centre_in_service(const data_centre_id& centre) const {
    const auto config = config_.current();
    const data_centre_spec* spec = config ? figwinch::find(*config, centre) : nullptr;
    return spec && spec->in_service;
}

// Judged right before starts are sent. Guards against a data centre that was taken out, and a job
// that was cancelled or taken over, without this process hearing of it: both travel through the
// log, so a start needs a view of both streams that is confirmed, or an unbroken outage of the log
// itself.
result_code scheduler_core::start_verdict(instant now) const {
    if (deposed_ || stopping_ || !recovered_)
        return result_code::state_not_recovered;
    if (!centre_in_service(with_.self.data_centre))
        return result_code::not_found;
    if (config_.judge(now) == freshness::unknown || evidence_.judge(now) == freshness::unknown)
        return result_code::view_not_fresh;
    return result_code::ok;
}

scheduler_actions scheduler_core::tick(instant now) {
    now_ = now;
    scheduler_actions out;
    if (deposed_ && !stopping_)
        begin_stop(now);
    const bool may_start = start_verdict(now) == result_code::ok;
    const instant confirmed =
        evidence_.ever_confirmed() ? std::max(evidence_.confirmed_at(), started_at_) : started_at_;
    leases_.allow_renewal(!deposed_ && (evidence_.judge(now) != freshness::unknown ||
                                        now < confirmed + with_.renew_unconfirmed));
    leases_.allow_starts(may_start);
    expire_requests(now);
    if (renew_all_ && now >= renew_all_at_) {
        renew_all_ = false;
        leases_.renew_all(now);
    }
    if (recovered_ && !deposed_) {
        run_fences(now, out);
        if (now >= next_ownership_) {
            next_ownership_ = now + with_.fence_every;
            take_over_dead_owners(now);
            move_jobs(now);
            declare_manifest_jobs(now);
            write_snapshots(now);
        }
        run_interference(now);
        if (may_start)
            place(now);
    }
    out.commands = leases_.due(now);
    if (!deposed_) {
        if (std::optional<std::string> payload = writer_.due(now))
            out.append = append_action{std::move(*payload)};
    }
    out.read_log = std::exchange(read_log_, false);
    return out;
}

void scheduler_core::on_append_outcome(append_outcome outcome, instant now) {
    now_ = now;
    writer_.on_outcome(outcome, now);
    read_log_ = read_log_ || outcome == append_outcome::acknowledged;
}

void scheduler_core::on_worker_reply(std::uint64_t token, const pb::WorkerReply& reply,
                                     instant now) {
    now_ = now;
    leases_.on_reply(token, reply, now);
}

void scheduler_core::on_no_worker_reply(std::uint64_t token, instant now) {
    now_ = now;
    leases_.on_no_reply(token, now);
}

} // namespace figwinch
