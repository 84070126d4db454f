#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// A read replica: a host that answers queries from its copy of the cell's jobs.
struct read_replica {
    std::string bus_address;
    data_centre_id data_centre;
    friend bool operator==(const read_replica&, const read_replica&) = default;
};

/// The cell's read replicas, which answer queries about jobs, sorted by bus address.
class replica_list {
public:
    replica_list() = default;
    explicit replica_list(std::vector<read_replica> entries);

    const std::vector<read_replica>& entries() const { return entries_; }
    /// A hash of the list's content. Equal lists have equal digests; 0 means that no list has been
    /// received yet.
    std::uint64_t digest() const { return digest_; }

private:
    std::vector<read_replica> entries_;
    std::uint64_t digest_ = 0;
};

} // namespace figwinch
