#pragma once

#include "cell_host/intake_entry.h"

#include <functional>

namespace figwinch {

/// Queue of entries that wait to be sent. Owned by `intake_writer`.
class intake_queue {
public:
    /// Maximum number of entries in one append.
    static constexpr std::size_t max_entries = 200;

    void push(intake_entry entry) { entries_.push_back(std::move(entry)); }
    /// Puts entries at the front of the queue.
    void put_back(intake_entries entries);
    /// Removes and returns the entries for one append: in order, those for which `accept` returns
    /// true, up to the limits of count and bytes.
    intake_entries take(const std::function<bool(const intake_entry&)>& accept);
    intake_entries take_all();
    intake_entries& entries() { return entries_; }
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    intake_entries entries_;
};

} // namespace figwinch
