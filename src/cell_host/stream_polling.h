#pragma once

#include "figwinch/cell.h"

namespace figwinch {

// Operators' changes are rare, so a read waits in the log for the next one. The wait is bounded
// because an outage can lose a read's reply, and even then a change must take effect within 2 s.
inline constexpr follow_options operators_polling{std::chrono::milliseconds(800),
                                                  std::chrono::milliseconds(10)};
// On hosts without a read replica. They read little else, so these reads also show whether the log
// answers.
inline constexpr follow_options operators_polling_without_replica{std::chrono::milliseconds(250),
                                                                  std::chrono::milliseconds(10)};
// Each worker writes about once a second. Reads don't wait for records, because each record would
// then cost a call.
inline constexpr follow_options workers_polling{duration::zero(), std::chrono::milliseconds(200)};
// On the coordinator, which starts new jobs as they arrive.
inline constexpr follow_options leader_intake_polling{std::chrono::milliseconds(1000),
                                                      std::chrono::milliseconds(20)};
// On other hosts, which read on demand when a caller asks for a job that they don't know, or for
// the count of waiting jobs while they haven't reached the end of the stream for 2 s. Periodic
// reads keep that count current.
inline constexpr follow_options follower_intake_polling{duration::zero(),
                                                        std::chrono::milliseconds(1000)};
// Keeps the progress of jobs current for callers' status requests.
inline constexpr follow_options follower_progress_polling{duration::zero(),
                                                          std::chrono::milliseconds(250)};

} // namespace figwinch
