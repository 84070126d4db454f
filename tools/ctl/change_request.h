#pragma once

#include "figwinch/config.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>

namespace figwinch {

/// A change of the configuration that an operator asks for.
struct change_request {
    /// The wanted manifest, made from the one in force. Errors end the request.
    using editor = std::function<absl::StatusOr<manifest>(const manifest& current)>;

    std::string author;
    std::string comment;
    /// The version that the change was made from; empty: whatever is in force. With a version, a
    /// change that came in between makes this one lose.
    std::optional<config_version> base;
    /// How often the change is made anew after losing to another; for edits that mean the same from
    /// any version.
    int attempts = 1;
    editor edit;
};

} // namespace figwinch
