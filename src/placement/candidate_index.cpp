#include "figwinch/placement/candidate_index.h"

#include <algorithm>

namespace figwinch {
namespace {

// Width of a bucket in thousandths of a core. Lookups rotate among the workers of one bucket.
constexpr std::int64_t bucket_millis = 250;
// The last bucket holds every worker with about 64 cores (256 * 250 thousandths) or more.
constexpr std::size_t bucket_count = 256;

std::size_t bucket_of(std::int64_t millis) {
    const auto bucket = static_cast<std::size_t>(std::max<std::int64_t>(0, millis) / bucket_millis);
    return std::min(bucket, bucket_count - 1);
}

} // namespace

void candidate_index::cpu_buckets::put(worker_slot worker, std::int64_t millis) {
    const std::size_t bucket = bucket_of(millis);
    const auto [known, is_new] = positions_.try_emplace(worker);
    if (!is_new && known->second.bucket == bucket)
        return;
    if (!is_new)
        remove_entry(known->second);
    if (buckets_.size() <= bucket)
        buckets_.resize(bucket + 1);
    known->second = {bucket, buckets_[bucket].size()};
    buckets_[bucket].push_back(worker);
}

void candidate_index::cpu_buckets::remove(worker_slot worker) {
    const auto known = positions_.find(worker);
    if (known == positions_.end())
        return;
    const position from = known->second;
    positions_.erase(known);
    remove_entry(from);
}

void candidate_index::cpu_buckets::remove_entry(const position& from) {
    std::vector<worker_slot>& bucket = buckets_[from.bucket];
    const worker_slot last = bucket.back();
    bucket[from.offset] = last;
    bucket.pop_back();
    if (from.offset < bucket.size())
        positions_[last].offset = from.offset;
}

std::size_t candidate_index::cpu_buckets::count_at_least(std::int64_t min_millis) const {
    std::size_t count = 0;
    for (std::size_t bucket = bucket_of(min_millis); bucket < buckets_.size(); ++bucket)
        count += buckets_[bucket].size();
    return count;
}

void candidate_index::cpu_buckets::visit(std::int64_t min_millis, std::uint64_t rotation,
                                         const visitor& visit) const {
    const std::size_t lowest = bucket_of(min_millis);
    for (std::size_t bucket = buckets_.size(); bucket-- > lowest;) {
        const std::vector<worker_slot>& workers = buckets_[bucket];
        const std::size_t begin = workers.empty() ? 0 : rotation % workers.size();
        for (std::size_t step = 0; step < workers.size(); ++step)
            if (!visit(workers[(begin + step) % workers.size()]))
                return;
    }
}

void candidate_index::cpu_buckets::visit_sample(std::int64_t min_millis, std::size_t max_count,
                                                std::uint64_t rotation,
                                                const visitor& visit) const {
    const std::size_t count = count_at_least(min_millis);
    if (count == 0 || max_count == 0)
        return;
    const std::size_t stride = (count + max_count - 1) / max_count;
    std::size_t next = rotation % stride;
    for (std::size_t bucket = bucket_of(min_millis); bucket < buckets_.size(); ++bucket) {
        const std::vector<worker_slot>& workers = buckets_[bucket];
        for (; next < workers.size(); next += stride)
            if (!visit(workers[next]))
                return;
        next -= workers.size();
    }
}

tag_number candidate_index::tag(const std::string& name) {
    return tags_.try_emplace(name, static_cast<tag_number>(tags_.size())).first->second;
}

void candidate_index::put(worker_slot worker, const worker_offer& offer) {
    if (offers_.size() <= worker) {
        offers_.resize(worker + 1);
        in_use_.resize(worker + 1);
    }
    worker_offer& known = offers_[worker];
    const bool same_keys =
        in_use_[worker] && known.service == offer.service && known.tags == offer.tags;
    if (in_use_[worker] && !same_keys)
        remove_entry(worker, known);
    size_ += in_use_[worker] ? 0 : 1;
    in_use_[worker] = true;
    service_index& index = services_[offer.service];
    index.free.put(worker, offer.free_millis);
    index.best_effort.put(worker, offer.best_effort_millis);
    for (const tag_number tag : offer.tags)
        index.tagged[tag].put(worker, offer.free_millis);
    if (same_keys) {
        known.free_millis = offer.free_millis;
        known.best_effort_millis = offer.best_effort_millis;
    } else {
        known = offer;
    }
}

void candidate_index::remove(worker_slot worker) {
    if (worker >= in_use_.size() || !in_use_[worker])
        return;
    remove_entry(worker, offers_[worker]);
    in_use_[worker] = false;
    --size_;
}

void candidate_index::remove_entry(worker_slot worker, const worker_offer& offer) {
    service_index& index = services_[offer.service];
    index.free.remove(worker);
    index.best_effort.remove(worker);
    for (const tag_number tag : offer.tags)
        index.tagged[tag].remove(worker);
}

void candidate_index::visit_free(const service_id& service, std::int64_t min_millis,
                                 std::uint64_t rotation, const visitor& visit) const {
    if (const auto index = services_.find(service); index != services_.end())
        index->second.free.visit(min_millis, rotation, visit);
}

void candidate_index::visit_tagged(const service_id& service, tag_number tag,
                                   std::int64_t min_millis, std::uint64_t rotation,
                                   const visitor& visit) const {
    const auto index = services_.find(service);
    if (index == services_.end())
        return;
    if (const auto tagged = index->second.tagged.find(tag); tagged != index->second.tagged.end())
        tagged->second.visit(min_millis, rotation, visit);
}

void candidate_index::visit_best_effort(const service_id& service, std::int64_t min_millis,
                                        std::size_t max_count, std::uint64_t rotation,
                                        const visitor& visit) const {
    if (const auto index = services_.find(service); index != services_.end())
        index->second.best_effort.visit_sample(min_millis, max_count, rotation, visit);
}

} // namespace figwinch
