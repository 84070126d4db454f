#include "cell_host/worker_list.h"

#include <utility>

namespace figwinch {

void worker_list::apply(const stored_record& record) {
    const worker_id id(record.key);
    if (record.value)
        apply_entry(id, *record.value);
    else
        erase(id);
}

void worker_list::apply_entry(const worker_id& id, std::string_view bytes) {
    const auto known = entries_.find(id);
    const std::optional<std::uint64_t> digest = platform_.listing_digest(bytes);
    if (known != entries_.end() && digest && known->second.digest == digest)
        return;
    absl::StatusOr<worker_listing> listing = platform_.decode_listing(id.str(), bytes);
    if (!listing.ok())
        return erase(id);
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
