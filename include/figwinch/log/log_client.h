#pragma once

#include "figwinch/base/clock.h"
#include "figwinch/base/ids.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace figwinch {

/// The name of one stream of the log.
using stream_name = strong_string<struct stream_tag>;

/// One record as the log keeps it.
struct log_record {
    log_offset offset;
    std::string payload;
};

/// A run of records from one stream.
struct log_page {
    /// The oldest offset that the log still keeps.
    log_offset first_kept;
    /// The offset that the next append will get when the page was read; the page reaches the tail
    /// when its last record is the one before it.
    log_offset next;
    std::vector<log_record> records;
};

/// How much longer than its timeout a call may take while its answer keeps coming: a page or a list
/// of 4 MB on the narrowest link that a host may have, 1 Mbit/s.
inline constexpr duration longest_log_answer = std::chrono::seconds(33);

/// The platform's log. Calls never block; each calls back exactly once: within its timeout and the
/// time that what it sends takes on a narrow link, or while its answer keeps coming.
/// Errors: `log_unavailable` (the log itself says so: nothing was appended), `log_silent` (no
/// answer: an append may have taken effect), `log_truncated` (offset older than retention; see
/// `first_kept_of`).
class log_client {
public:
    using append_callback = std::function<void(absl::StatusOr<log_offset>)>;
    using read_callback = std::function<void(absl::StatusOr<log_page>)>;

    virtual ~log_client() = default;
    virtual void append(const stream_name& stream, std::string payload, append_callback done) = 0;
    /// Reads from `from` (1 or more) at most `max_records`; an empty page means the tail.
    virtual void read(const stream_name& stream, log_offset from, std::size_t max_records,
                      read_callback done) = 0;
};

} // namespace figwinch
