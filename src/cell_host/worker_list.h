#pragma once

#include "cell_host/cell_platform.h"

#include <map>
#include <vector>

namespace figwinch {

/// The platform's list of workers, built from the records of the workers stream. Workers rewrite
/// their entries periodically; an entry with the digest of the one before is neither decoded nor
/// counted as a change. Owned by `cell_member`.
class worker_list {
public:
    explicit worker_list(const cell_platform& platform) : platform_(platform) {}

    void apply(const stored_record& record);
    /// Whether the list has changed since the last call.
    bool poll_changed();
    /// All workers, sorted by ID.
    std::vector<worker_listing> listings() const;

private:
    struct entry {
        std::optional<std::uint64_t> digest;
        worker_listing listing;
    };

    void apply_entry(const worker_id& id, std::string_view bytes);
    void erase(const worker_id& id);

    const cell_platform& platform_;
    std::map<worker_id, entry> entries_;
    bool changed_ = false;
};

} // namespace figwinch
