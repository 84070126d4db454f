#pragma once

#include "figwinch/base.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace figwinch {

/// Identifies a worker in a `candidate_index`. The caller assigns slots; they should be small and
/// dense, since they index a vector.
using worker_slot = std::uint32_t;
/// Identifies an interned tag (a rack, label or image) of a `candidate_index`.
using tag_number = std::uint32_t;

/// The properties of a worker by which `candidate_index` finds it.
struct worker_offer {
    service_id service;
    /// Free CPU for tasks that count against the capacity, in thousandths of a core.
    std::int64_t free_millis = 0;
    /// CPU left for best-effort tasks, in thousandths of a core. A negative value is indexed as 0.
    std::int64_t best_effort_millis = 0;
    /// Labels of the worker, its rack, and the images of the serving tasks that run on it.
    std::vector<tag_number> tags;
};

/// Finds candidate workers for a task without scanning all of them. Workers are indexed by service,
/// by free CPU in buckets, and by tag. The result is only approximate: the caller must check that a
/// candidate can admit the task. A lookup takes time linear in the workers visited, an update in
/// the tags of the worker. Owned by a coordinator.
class candidate_index {
public:
    /// Returns false to end the visit.
    using visitor = std::function<bool(worker_slot)>;

    /// Returns the number of a tag; a new name gets the next free number.
    tag_number tag(const std::string& name);

    /// Adds a worker, or updates it if the slot is in use.
    void put(worker_slot worker, const worker_offer& offer);
    void remove(worker_slot worker);
    std::size_t size() const { return size_; }

    /// Visits workers in buckets from that of `min_millis` free CPU (in thousandths of a core)
    /// upwards, the bucket with the most free CPU first. `rotation` selects the first worker within
    /// each bucket: callers increase it to rotate among similar workers.
    void visit_free(const service_id& service, std::int64_t min_millis, std::uint64_t rotation,
                    const visitor& visit) const;
    /// Like `visit_free`, but visits only workers that have the tag.
    void visit_tagged(const service_id& service, tag_number tag, std::int64_t min_millis,
                      std::uint64_t rotation, const visitor& visit) const;
    /// Visits an evenly spaced sample of at most `max_count` workers from the buckets that leave at
    /// least `min_millis` CPU (in thousandths of a core) for best-effort tasks; visits all of them
    /// if there are no more than `max_count`. `rotation` selects the sample.
    void visit_best_effort(const service_id& service, std::int64_t min_millis,
                           std::size_t max_count, std::uint64_t rotation,
                           const visitor& visit) const;

private:
    /// Workers grouped in buckets by an amount of CPU.
    class cpu_buckets {
    public:
        void put(worker_slot worker, std::int64_t millis);
        void remove(worker_slot worker);
        std::size_t count_at_least(std::int64_t min_millis) const;
        void visit(std::int64_t min_millis, std::uint64_t rotation, const visitor& visit) const;
        void visit_sample(std::int64_t min_millis, std::size_t max_count, std::uint64_t rotation,
                          const visitor& visit) const;

    private:
        struct position {
            std::size_t bucket = 0;
            std::size_t offset = 0;
        };
        void remove_entry(const position& from);

        std::vector<std::vector<worker_slot>> buckets_;
        absl::flat_hash_map<worker_slot, position> positions_;
    };
    struct service_index {
        cpu_buckets free;
        cpu_buckets best_effort;
        absl::flat_hash_map<tag_number, cpu_buckets> tagged;
    };

    void remove_entry(worker_slot worker, const worker_offer& offer);

    absl::flat_hash_map<std::string, tag_number> tags_;
    absl::flat_hash_map<service_id, service_index> services_;
    /// Indexed by slot; `in_use_` tells which slots are in use.
    std::vector<worker_offer> offers_;
    std::vector<bool> in_use_;
    std::size_t size_ = 0;
};

} // namespace figwinch
