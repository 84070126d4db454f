#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// A read replica: a host that answers queries from its copy of the cell's jobs.
struct reader_place {
    std::string bus_address;
    data_centre_id data_centre;
    friend bool operator==(const reader_place&, const reader_place&) = default;
};

/// The cell's read replicas, which answer queries about jobs, sorted by bus address.
class reader_list {
public:
    reader_list() = default;
    explicit reader_list(std::vector<reader_place> places);

    const std::vector<reader_place>& places() const { return places_; }
    /// A hash of the list's content. Equal lists have equal digests; 0 means that no list has been
    /// received yet.
    std::uint64_t digest() const { return digest_; }

private:
    std::vector<reader_place> places_;
    std::uint64_t digest_ = 0;
};

} // namespace figwinch
