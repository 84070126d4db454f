#include "observe/json_line.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>
#include <cstdint>

namespace figwinch {
namespace {

constexpr std::string_view replacement = "\xef\xbf\xbd"; // U+FFFD

/// Length of the UTF-8 sequence at the start of `text`; 0 when there is none.
std::size_t sequence_length(std::string_view text) {
    const auto lead = static_cast<unsigned char>(text[0]);
    std::size_t length = 0;
    std::uint32_t value = 0;
    std::uint32_t smallest = 0;
    if (lead < 0x80)
        return 1;
    if ((lead & 0xe0) == 0xc0) {
        length = 2;
        value = lead & 0x1f;
        smallest = 0x80;
    } else if ((lead & 0xf0) == 0xe0) {
        length = 3;
        value = lead & 0x0f;
        smallest = 0x800;
    } else if ((lead & 0xf8) == 0xf0) {
        length = 4;
        value = lead & 0x07;
        smallest = 0x10000;
    }
    if (length == 0 || text.size() < length)
        return 0;
    for (std::size_t i = 1; i < length; ++i) {
        const auto next = static_cast<unsigned char>(text[i]);
        if ((next & 0xc0) != 0x80)
            return 0;
        value = (value << 6) | (next & 0x3fu);
    }
    const bool is_surrogate = value >= 0xd800 && value <= 0xdfff;
    const bool is_valid = value >= smallest && value <= 0x10ffff && !is_surrogate;
    return is_valid ? length : 0;
}

void append_ascii(std::string& out, char c) {
    switch (c) {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        break;
    }
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
        out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    else
        out += c;
}

/// Appends a value as JSON.
struct value_writer {
    std::string& out;

    void operator()(const std::string& value) const { append_json_string(out, value); }
    void operator()(std::int64_t value) const { out += std::to_string(value); }
    void operator()(bool value) const { out += value ? "true" : "false"; }
    void operator()(double value) const {
        // JSON has no infinity and no NaN.
        out += std::isfinite(value) ? fmt::format("{}", value) : "null";
    }
};

} // namespace

void append_json_string(std::string& out, std::string_view text) {
    out += '"';
    while (!text.empty()) {
        const std::size_t length = sequence_length(text);
        if (length == 0)
            out += replacement;
        else if (length == 1)
            append_ascii(out, text[0]);
        else
            out += text.substr(0, length);
        text.remove_prefix(length == 0 ? 1 : length);
    }
    out += '"';
}

void json_line::begin_member(std::string_view key) {
    if (text_.size() > 1)
        text_ += ", ";
    append_json_string(text_, key);
    text_ += ": ";
}

void json_line::add(std::string_view key, std::string_view value) {
    begin_member(key);
    append_json_string(text_, value);
}

void json_line::add(const log_field& field) {
    begin_member(field.key);
    std::visit(value_writer{text_}, field.value);
}

} // namespace figwinch
