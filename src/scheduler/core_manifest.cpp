// Jobs that the manifest declares: `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include <algorithm>

namespace figwinch {
namespace {

std::string manifest_job_id(const job_spec& job) {
    std::string text = job.copied_from.str() + '|' + std::string(to_string(job.job_class)) + '|' +
                       to_string(job.size) + '|' + std::to_string(job.tasks) + '|' +
                       std::to_string(job.work.count()) + '|' + std::to_string(job.max_attempts);
    for (const data_centre_id& centre : job.data_centres)
        text += '|' + centre.str();
    return std::string(manifest_job_prefix) + job.name.str() + ':' +
           std::to_string(stable_hash(text));
}

pb::JobSpec to_spec(const job_spec& job) {
    pb::JobSpec spec;
    spec.set_id(manifest_job_id(job));
    spec.set_customer(job.customer.str());
    spec.set_template_name(job.copied_from.str());
    spec.set_job_class(std::string(to_string(job.job_class)));
    spec.mutable_size()->set_cpu_millis(job.size.cpu_millis);
    spec.mutable_size()->set_memory_mib(job.size.memory_mib);
    spec.mutable_size()->set_accelerators(job.size.accelerators);
    spec.set_tasks(job.tasks);
    spec.set_work_ms(job.work.count() / 1000);
    spec.set_checkpointable(job.checkpointable);
    spec.set_max_attempts(job.max_attempts);
    for (const data_centre_id& centre : job.data_centres)
        spec.add_data_centres(centre.str());
    return spec;
}

} // namespace

// Jobs that the manifest declares have an id made from their name and contents, so that several
// processes that create one at once create the same job, and a changed one is another job.
void scheduler_core::declare_manifest_jobs(instant now) {
    const auto config = config_.current();
    if (!config || stopping_ || config_.judge(now) == freshness::unknown)
        return;
    std::set<job_key> declared;
    for (const job_spec& job : config->jobs) {
        const pb::JobSpec spec = to_spec(job);
        const job_key key = make_job_key(spec.customer(), spec.id());
        declared.insert(key);
        if (fold_.find(key) || requests_.contains(key))
            continue;
        std::vector<const member*> live{&with_.self};
        for (const member& peer : members_) {
            if (peer.role == member_role::scheduler && peer.state == member_state::live)
                live.push_back(&peer);
        }
        const auto best = std::ranges::max_element(live, {}, [&key](const member* one) {
            return rendezvous_weight(one->node.str(), key.str());
        });
        if (*best == &with_.self)
            accept(
                spec, [](const absl::Status&, const pb::JobView&) {}, now);
    }
    drop_undeclared_jobs(declared, now);
}

void scheduler_core::drop_undeclared_jobs(const std::set<job_key>& declared, instant now) {
    for (const job_key& key : fold_.jobs_of(self_)) {
        const job_record& job = *fold_.find(key);
        if (!job.is_retained_when_done() || declared.contains(key) || requests_.contains(key))
            continue;
        if (!job.is_done()) {
            cancel(
                key, [](const absl::Status&, const pb::JobView&) {}, now);
        } else if (releasing_.insert(key).second) {
            pb::JobEvent event;
            event.mutable_cancelled()->set_job(job.spec.id());
            event.mutable_cancelled()->set_customer(job.spec.customer());
            writer_.add(std::move(event));
        }
    }
}

} // namespace figwinch
