#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// An approximate set of worker ids that stores a 16-bit fingerprint of each: lookups may give
/// false positives but never false negatives. Records the workers to which tasks of a job may have
/// been sent. At 2 bytes per worker it is small enough to be written with every round of starts.
class worker_fingerprints {
public:
    void add(const worker_id& worker);
    bool may_contain(const worker_id& worker) const;
    /// Whether the two sets may have a worker in common. False positives are possible.
    bool may_intersect(const worker_fingerprints& other) const;
    bool empty() const { return fingerprints_.empty(); }

    std::string encode() const;
    static worker_fingerprints decode(std::string_view bytes);

    bool operator==(const worker_fingerprints&) const = default;

private:
    /// Sorted in ascending order, without duplicates.
    std::vector<std::uint16_t> fingerprints_;
};

} // namespace figwinch
