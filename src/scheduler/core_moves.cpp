// Jobs that another scheduler can run better: `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include "scheduler/highest_member.h"
#include "scheduler/spec_values.h"

#include <algorithm>

namespace figwinch {

bool scheduler_core::suits_here(const pb::JobSpec& spec) const {
    if (!centre_in_service(with_.self.data_centre) || !allows(spec, with_.self.data_centre))
        return false;
    const resources size = size_of(spec);
    return std::ranges::any_of(leases_.workers(), [&size](const auto& one) {
        return one.second.preferred && fits(size, one.second.spec.capacity);
    });
}

const member* scheduler_core::new_home(const pb::JobSpec& spec) const {
    const auto config = config_.current();
    if (!config)
        return nullptr;
    const resources size = size_of(spec);
    const std::string key = make_job_key(spec.customer(), spec.id()).str();
    std::map<node_id, const member*> homes;
    for (const worker_spec& worker : config->workers) {
        if (!fits(size, worker.capacity) || !allows(spec, worker.data_centre) ||
            !centre_in_service(worker.data_centre))
            continue;
        const member* holder =
            highest_member(live_schedulers(worker.data_centre), worker.name.str());
        if (holder)
            homes.emplace(holder->node, holder);
    }
    std::vector<const member*> near;
    std::vector<const member*> all;
    for (const auto& [node, home] : homes) {
        all.push_back(home);
        if (home->data_centre == with_.self.data_centre)
            near.push_back(home);
    }
    return highest_member(near.empty() ? all : near, key);
}

// Nothing of the job runs, and no worker here has had room for one task of it for a while.
bool scheduler_core::is_starved(const job_entry& job, instant now) const {
    if (now < job.acquired_at + with_.starved_after)
        return false;
    // First what is cheap: when the region is full, no job gets further than this.
    const resources size = size_of(job.spec);
    const bool offered = std::ranges::any_of(
        peer_rooms_, [&size](const auto& peer) { return fits(size, peer.second); });
    if (!offered)
        return false;
    const auto any = [](const placement_worker&) { return std::optional<double>(0); };
    return !index_.best_fit(size, any);
}

void scheduler_core::on_peer_room(const incarnation_id& peer, const resources& room) {
    const bool known = std::ranges::find(members_, peer, &member::incarnation) != members_.end();
    if (known)
        peer_rooms_[peer] = room;
}

resources scheduler_core::largest_room(instant now) const {
    return start_verdict(now) == result_code::ok ? index_.largest_room() : resources{};
}

// A scheduler that says it has room for a task of the job, of this data centre where there is one.
// What is given to it counts against its room until its next heartbeat, so that not every starved
// job goes to the same one.
const member* scheduler_core::roomy_home(const pb::JobSpec& spec) {
    const resources size = size_of(spec);
    std::vector<const member*> near;
    std::vector<const member*> all;
    for (const member& peer : members_) {
        const auto room = peer_rooms_.find(peer.incarnation);
        const bool suits = peer.role == member_role::scheduler &&
                           peer.state == member_state::live && allows(spec, peer.data_centre) &&
                           centre_in_service(peer.data_centre);
        if (!suits || room == peer_rooms_.end() || !fits(size, room->second))
            continue;
        all.push_back(&peer);
        if (peer.data_centre == with_.self.data_centre)
            near.push_back(&peer);
    }
    const member* home =
        highest_member(near.empty() ? all : near, make_job_key(spec.customer(), spec.id()).str());
    if (home)
        peer_rooms_[home->incarnation] -= size;
    return home;
}

// Jobs that can't run here go to a scheduler that can run them, once no attempt of theirs runs: the
// data centre was taken out, the job may not run in it, no worker of this scheduler is large
// enough, or all have been full for a while and a peer has room.
void scheduler_core::move_jobs(instant now) {
    constexpr std::size_t max_at_once = 256;
    if (stopping_ || evidence_.judge(now) != freshness::confirmed)
        return;
    std::vector<job_key> movable;
    for (const auto& [key, job] : book_.entries()) {
        if (movable.size() >= max_at_once)
            break;
        if (job.has_ended() || job.moving || job.active > 0 || job.blocked > 0 || job.fenced_off)
            continue;
        if (!suits_here(job.spec) || is_starved(job, now))
            movable.push_back(key);
    }
    for (const job_key& key : movable) {
        job_entry& job = *book_.find(key);
        const member* home = suits_here(job.spec) ? roomy_home(job.spec) : new_home(job.spec);
        if (home)
            give_away(job, *home);
    }
}

void scheduler_core::give_away(job_entry& job, const member& home) {
    job.moving = true;
    queue_.remove(job.key);
    pb::JobEvent event;
    event.mutable_moved()->set_job(job.spec.id());
    event.mutable_moved()->set_customer(job.spec.customer());
    event.mutable_moved()->set_to(home.incarnation.str());
    event.mutable_moved()->set_to_data_centre(home.data_centre.str());
    writer_.add(std::move(event));
}

} // namespace figwinch
