#pragma once

#include "cell_host/intake_entry.h"

#include <functional>

namespace figwinch {

/// Entries that wait to be sent, in order. Owned by `intake_writer`.
class intake_queue {
public:
    /// One append holds so many at most.
    static constexpr std::size_t most_entries = 200;

    void push(intake_entry entry) { entries_.push_back(std::move(entry)); }
    void put_back(intake_entries entries);
    /// In order, as much of what `may` allows as one append holds.
    intake_entries take(const std::function<bool(const intake_entry&)>& may);
    intake_entries take_all();
    intake_entries& entries() { return entries_; }
    std::size_t size() const { return entries_.size(); }
    bool empty() const { return entries_.empty(); }

private:
    intake_entries entries_;
};

} // namespace figwinch
