#pragma once

#include "figwinch/cell.h"

namespace figwinch {

// Operators' changes are rare, so a read waits for the next; but an outage can leave a read without
// an answer for good, and a change has to be in force within 2 s all the same.
inline constexpr follow_options operators_pace{std::chrono::milliseconds(800),
                                               std::chrono::milliseconds(10)};
// A host that keeps no copy reads little else, and learns by these reads whether the log answers.
inline constexpr follow_options asking_operators{std::chrono::milliseconds(250),
                                                 std::chrono::milliseconds(10)};
// Workers write about once a second each; reading on every record would cost a call for each.
inline constexpr follow_options workers_pace{duration::zero(), std::chrono::milliseconds(200)};
// The coordinator takes up jobs as they come.
inline constexpr follow_options leading_intake{std::chrono::milliseconds(1000),
                                               std::chrono::milliseconds(20)};
// Others read them at once when a caller asks for a job that they don't know. What is left are
// counts of jobs that wait, which may be 2 s old.
inline constexpr follow_options following_intake{duration::zero(), std::chrono::milliseconds(1000)};
// How far jobs are, for callers who ask.
inline constexpr follow_options following_progress{duration::zero(),
                                                   std::chrono::milliseconds(250)};

} // namespace figwinch
