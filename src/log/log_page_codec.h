#pragma once

#include "figwinch/log/log_client.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace figwinch {

/// Reads the body of a page (LogPage of proto/platform.proto). Offsets have to be consecutive and
/// inside the page's bounds; anything else is `log_silent`, since it proves nothing.
absl::StatusOr<log_page> decode_log_page(std::string_view body);
std::string encode_log_page(const log_page& page);

} // namespace figwinch
