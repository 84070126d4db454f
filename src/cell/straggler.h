#pragma once

#include "figwinch/base.h"

#include <optional>
#include <vector>

namespace figwinch {

/// How a run gets on. Times count only while it may work: at half its pace an hour is half an hour.
struct run_progress {
    duration worked{};
    /// Since the percentage last changed.
    duration unchanged{};
    int percent = 0;
    /// The submitter's guess of the whole time, often far off.
    duration estimate{};
};

/// Whether a run stands still: its percentage hasn't changed for much longer than one percent has
/// taken so far, and for longer than reports are apart.
bool stands_still(const run_progress& run);

/// What a whole run of a step usually takes, from runs that ended well and those that are far
/// enough to tell; nothing from too few.
std::optional<duration> usual_time(std::vector<duration> ended,
                                   const std::vector<run_progress>& running);

/// Whether a run that goes on here would be done sooner if it began anew elsewhere, by a clear
/// margin. `saves`: it goes on from where it is, but for a second's work.
bool is_straggler(const run_progress& run, duration usual, bool saves);

} // namespace figwinch
