#pragma once

#include "figwinch/base.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace figwinch {

/// Names a worker in a `candidate_index`; chosen by its owner, small and dense.
using worker_slot = std::uint32_t;
/// Numbers a label or an image of a `candidate_index`.
using tag_number = std::uint32_t;

/// What a worker offers to tasks, as placement looks it up.
struct worker_offer {
    service_id service;
    /// Processors that tasks which count against the capacity may take, thousandths.
    std::int64_t free_millis = 0;
    /// Processors that are left to filling tasks, thousandths; may be below zero.
    std::int64_t fill_millis = 0;
    /// Its labels, its rack among them, and the images that serve on it.
    std::vector<tag_number> tags;
};

/// Finds workers that may take a task without walking over all of them: by service, by what is free
/// in classes, and by tags. What it shows is where to look; whether a worker admits the task is the
/// caller's to decide. A lookup costs what it visits, an update the number of the worker's tags.
/// Owned by a coordinator.
class candidate_index {
public:
    /// Returns whether to go on.
    using visitor = std::function<bool(worker_slot)>;

    tag_number tag(const std::string& name);

    /// Adds a worker or brings its offer up to date.
    void put(worker_slot worker, const worker_offer& offer);
    void remove(worker_slot worker);
    std::size_t size() const { return size_; }

    /// Workers with at least `least` free, those with the most first; `turn` says where in a class
    /// to begin, so that workers alike take turns.
    void visit_free(const service_id& service, std::int64_t least, std::uint64_t turn,
                    const visitor& visit) const;
    /// The same of the workers that have a tag.
    void visit_tagged(const service_id& service, tag_number tag, std::int64_t least,
                      std::uint64_t turn, const visitor& visit) const;
    /// A sample of `most` workers from all classes alike that leave at least `least` to filling
    /// tasks, or all of them when there are no more; `turn` chooses the sample.
    void visit_fill(const service_id& service, std::int64_t least, std::size_t most,
                    std::uint64_t turn, const visitor& visit) const;

private:
    /// Workers in classes of processors.
    class room_classes {
    public:
        void put(worker_slot worker, std::int64_t millis);
        void remove(worker_slot worker);
        std::size_t count_from(std::int64_t least) const;
        void visit(std::int64_t least, std::uint64_t turn, const visitor& visit) const;
        void visit_sample(std::int64_t least, std::size_t most, std::uint64_t turn,
                          const visitor& visit) const;

    private:
        struct place {
            std::size_t row = 0;
            std::size_t at = 0;
        };
        void take_out(const place& from);

        std::vector<std::vector<worker_slot>> rows_;
        absl::flat_hash_map<worker_slot, place> places_;
    };
    struct service_rooms {
        room_classes free;
        room_classes fill;
        absl::flat_hash_map<tag_number, room_classes> tagged;
    };

    void take_out(worker_slot worker, const worker_offer& offer);

    absl::flat_hash_map<std::string, tag_number> tags_;
    absl::flat_hash_map<service_id, service_rooms> services_;
    /// By slot; `listed` tells which slots are in use.
    std::vector<worker_offer> offers_;
    std::vector<bool> listed_;
    std::size_t size_ = 0;
};

} // namespace figwinch
