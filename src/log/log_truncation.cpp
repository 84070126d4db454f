#include "figwinch/log/log_truncation.h"

#include "figwinch/base/result_code.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

#include <string>

namespace figwinch {
namespace {

constexpr const char* payload_url = "figwinch/first_kept";

} // namespace

absl::Status log_truncated_error(log_offset first_kept) {
    const std::string text = std::to_string(first_kept.value());
    absl::Status status =
        make_error(result_code::log_truncated, "records before " + text + " are no longer kept");
    status.SetPayload(payload_url, absl::Cord(text));
    return status;
}

log_offset first_kept_of(const absl::Status& status) {
    const auto payload = status.GetPayload(payload_url);
    std::uint64_t value = 1;
    if (payload.has_value() && absl::SimpleAtoi(std::string(*payload), &value))
        return log_offset(value);
    return log_offset(1);
}

} // namespace figwinch
