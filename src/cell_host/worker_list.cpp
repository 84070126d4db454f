#include "cell_host/worker_list.h"

#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Limit on log lines about unreadable entries, of which another writer may leave any number.
constexpr int max_lines_per_period = 10;
constexpr duration log_period = std::chrono::seconds(10);

} // namespace

void worker_list::apply(const stored_record& record) {
    const worker_id id(record.key);
    if (record.value)
        return apply_entry(id, *record.value);
    unreadable_.erase(id);
    erase(id);
}

void worker_list::apply_entry(const worker_id& id, std::string_view bytes) {
    const auto known = entries_.find(id);
    const std::optional<std::uint64_t> digest = platform_.listing_digest(bytes);
    if (known != entries_.end() && digest && known->second.digest == digest)
        return;
    const std::uint64_t version = digest ? *digest : stable_hash(bytes);
    const auto rejected = unreadable_.find(id);
    if (rejected != unreadable_.end() && rejected->second == version)
        return;
    absl::StatusOr<worker_listing> listing = platform_.decode_listing(id.str(), bytes);
    if (!listing.ok())
        return reject_entry(id, version, std::string(listing.status().message()));
    if (rejected != unreadable_.end())
        unreadable_.erase(rejected);
    if (known == entries_.end()) {
        entries_.emplace(id, entry{digest, std::move(*listing)});
        changed_ = true;
        return;
    }
    known->second.digest = digest;
    if (known->second.listing == *listing)
        return;
    known->second.listing = std::move(*listing);
    changed_ = true;
}

void worker_list::reject_entry(const worker_id& id, std::uint64_t version, const std::string& why) {
    unreadable_[id] = version;
    log_unreadable(id, why);
    erase(id);
}

void worker_list::log_unreadable(const worker_id& id, const std::string& why) {
    if (time_.now() >= log_period_end_) {
        log_period_end_ = time_.now() + log_period;
        lines_in_period_ = 0;
    }
    if (lines_in_period_ >= max_lines_per_period) {
        ++lines_suppressed_;
        return;
    }
    ++lines_in_period_;
    log_event(log_level::warn, "worker_entry_unreadable",
              {{"worker", id.str()},
               {"why", why},
               {"was_listed", entries_.contains(id)},
               {"suppressed", std::exchange(lines_suppressed_, 0)}});
}

void worker_list::erase(const worker_id& id) {
    if (entries_.erase(id) > 0)
        changed_ = true;
}

bool worker_list::poll_changed() {
    return std::exchange(changed_, false);
}

std::vector<worker_listing> worker_list::listings() const {
    std::vector<worker_listing> rows;
    rows.reserve(entries_.size());
    for (const auto& [id, known] : entries_)
        rows.push_back(known.listing);
    return rows;
}

} // namespace figwinch
