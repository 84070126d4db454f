#pragma once

#include "cell_host/cell_platform.h"

#include <map>
#include <vector>

namespace figwinch {

/// The platform's list of workers, built from the records of the workers stream. Workers rewrite
/// their entries periodically; an entry with the digest of the one before is neither decoded nor
/// counted as a change. An entry that can't be decoded names no worker and is logged once per
/// version, within a limit on the lines in a time. Owned by `cell_member`.
class worker_list {
public:
    worker_list(const clock& time, const cell_platform& platform)
        : time_(time), platform_(platform) {}

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
    void reject_entry(const worker_id& id, std::uint64_t version, const std::string& why);
    void log_unreadable(const worker_id& id, const std::string& why);
    void erase(const worker_id& id);

    const clock& time_;
    const cell_platform& platform_;
    std::map<worker_id, entry> entries_;
    /// The digests, or hashes, of entries that couldn't be decoded.
    std::map<worker_id, std::uint64_t> unreadable_;
    instant log_period_end_{};
    int lines_in_period_ = 0;
    std::int64_t lines_suppressed_ = 0;
    bool changed_ = false;
};

} // namespace figwinch
