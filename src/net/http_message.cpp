#include "figwinch/net/http_message.h"

#include <absl/strings/match.h>

#include <utility>

namespace figwinch {

void http_headers::add(std::string name, std::string value) {
    lines_.push_back({std::move(name), std::move(value)});
}

std::optional<std::string_view> http_headers::find(std::string_view name) const {
    for (const http_header& line : lines_) {
        if (absl::EqualsIgnoreCase(line.name, absl::string_view(name.data(), name.size())))
            return line.value;
    }
    return std::nullopt;
}

} // namespace figwinch
