#pragma once

#include "cell_host/cell_platform.h"

#include <map>
#include <vector>

namespace figwinch {

/// The platform's list of workers, folded from its stream. Workers write their entry again and
/// again; one that says nothing new isn't decoded and changes nothing. Owned by `cell_member`.
class worker_list {
public:
    explicit worker_list(const cell_platform& platform) : platform_(platform) {}

    void take(const stored_record& record);
    /// Whether something has changed since the last call.
    bool take_changed();
    /// In the order of ids.
    std::vector<worker_listing> rows() const;

private:
    struct entry {
        std::optional<std::uint64_t> digest;
        worker_listing listing;
    };

    void take_entry(const worker_id& id, std::string_view bytes);
    void erase(const worker_id& id);

    const cell_platform& platform_;
    std::map<worker_id, entry> entries_;
    bool changed_ = false;
};

} // namespace figwinch
