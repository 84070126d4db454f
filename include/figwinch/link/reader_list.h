#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// A host that keeps a copy of the cell's jobs.
struct reader_place {
    std::string bus_address;
    data_centre_id data_centre;
    friend bool operator==(const reader_place&, const reader_place&) = default;
};

/// The hosts that answer questions about jobs, in the order of their addresses.
class reader_list {
public:
    reader_list() = default;
    explicit reader_list(std::vector<reader_place> places);

    const std::vector<reader_place>& places() const { return places_; }
    /// The same for equal lists; 0 only for a list that was never told.
    std::uint64_t digest() const { return digest_; }

private:
    std::vector<reader_place> places_;
    std::uint64_t digest_ = 0;
};

} // namespace figwinch
