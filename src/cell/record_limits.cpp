#include "figwinch/cell/record_limits.h"

#include "figwinch/observe.h"

namespace figwinch {
namespace {

// A keyed record begins with its key's length in one byte.
constexpr std::size_t key_length_bytes = 1;
constexpr std::size_t max_key_bytes = 255;

} // namespace

bool record_limits::allow(const stored_record& record) const {
    const bool is_empty_value = record.value && record.value->empty();
    return !is_empty_value && record.key.size() <= max_key_bytes &&
           record_bytes(record) <= max_record_bytes_;
}

std::size_t record_bytes(const stored_record& record) {
    return key_length_bytes + record.key.size() + (record.value ? record.value->size() : 0);
}

void log_refused_record(const stored_record& record) {
    log_event(log_level::error, "record_refused",
              {{"key", record.key}, {"bytes", static_cast<std::int64_t>(record_bytes(record))}});
}

} // namespace figwinch
