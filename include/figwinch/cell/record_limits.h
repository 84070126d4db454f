#pragma once

#include "figwinch/cell/durable_log.h"

#include <cstddef>

namespace figwinch {

/// The size limits of the log for one record. The log refuses a whole append for one record that
/// exceeds them, so writers check each record by itself before they send it.
class record_limits {
public:
    /// `max_record_bytes`: size limit of a record, with its key and the key's length.
    explicit record_limits(std::size_t max_record_bytes) : max_record_bytes_(max_record_bytes) {}

    std::size_t max_record_bytes() const { return max_record_bytes_; }
    /// Whether the log takes the record. It doesn't take an empty value as a value: that would
    /// remove the key.
    bool allow(const stored_record& record) const;

private:
    std::size_t max_record_bytes_;
};

/// Size of a keyed record in the log: the key's length, the key and the value.
std::size_t record_bytes(const stored_record& record);

/// Logs that a record isn't written because the log doesn't take it.
void log_refused_record(const stored_record& record);

} // namespace figwinch
