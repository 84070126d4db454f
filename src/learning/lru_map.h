#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>
#include <utility>

namespace figwinch {

/// A hash map of at most `capacity` entries. Inserting into a full map evicts the least recently
/// touched entry, so that an endless series of new ids can't exhaust the memory of a
/// long-running process.
template <class Key, class Value>
class lru_map {
public:
    explicit lru_map(std::size_t capacity) : capacity_(capacity) {}

    /// Returns the entry, inserting a default one if missing, and marks it as the most recently
    /// touched.
    Value& touch(const Key& key) {
        const auto found = index_.find(key);
        if (found != index_.end()) {
            entries_.splice(entries_.begin(), entries_, found->second);
            return found->second->second;
        }
        if (!entries_.empty() && index_.size() >= capacity_)
            erase(Key(entries_.back().first));
        entries_.emplace_front(key, Value{});
        index_.emplace(key, entries_.begin());
        return entries_.front().second;
    }

    /// Returns the entry, or null if missing. Leaves the eviction order as it is.
    const Value* find(const Key& key) const {
        const auto found = index_.find(key);
        return found == index_.end() ? nullptr : &found->second->second;
    }
    Value* find(const Key& key) {
        const auto found = index_.find(key);
        return found == index_.end() ? nullptr : &found->second->second;
    }

    void erase(const Key& key) {
        const auto found = index_.find(key);
        if (found == index_.end())
            return;
        entries_.erase(found->second);
        index_.erase(found);
    }

    template <class Call>
    void for_each(Call&& call) {
        for (auto& [key, value] : entries_)
            call(key, value);
    }

    std::size_t size() const { return index_.size(); }

private:
    std::size_t capacity_;
    std::list<std::pair<Key, Value>> entries_;
    absl::flat_hash_map<Key, typename std::list<std::pair<Key, Value>>::iterator> index_;
};

} // namespace figwinch
