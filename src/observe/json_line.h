#pragma once

#include "figwinch/observe/event_logger.h"

#include <string>
#include <string_view>

namespace figwinch {

/// One JSON object on one line, built member by member.
class json_line {
public:
    void add(std::string_view key, std::string_view value);
    void add(const log_field& field);
    /// The closed object, without a line end.
    std::string str() const { return text_ + "}"; }

private:
    void begin_member(std::string_view key);

    std::string text_ = "{";
};

/// Appends `text` as a JSON string. Bytes that are not UTF-8 become U+FFFD, so that a line which
/// quotes a caller's bytes stays readable by every JSON parser.
void append_json_string(std::string& out, std::string_view text);

} // namespace figwinch
