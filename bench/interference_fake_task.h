#pragma once

#include <cstddef>
#include <string>

namespace figwinch {

/// A batch task of the fake cluster.
struct fake_task {
    std::string name;
    std::size_t copied_from = 0;
    double cores = 1;
    /// Core-seconds in all, and done.
    double work = 0;
    double done = 0;
    bool checkpointable = false;
    int percent = 100;
    /// Second from which it may be placed.
    int ready_at = 0;
};

} // namespace figwinch
