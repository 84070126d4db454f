#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figwinch::standin {

/// A JSON object by protobuf's Struct. Owned by whoever parses or builds one.
class json_text {
public:
    json_text();
    ~json_text();
    json_text(const json_text&) = delete;
    json_text& operator=(const json_text&) = delete;

    /// False when `text` is no JSON object; the empty text is an empty object.
    bool parse(std::string_view text);
    std::optional<double> number(const std::string& key) const;
    std::optional<bool> flag(const std::string& key) const;
    void set(const std::string& key, const std::string& value);
    void set(const std::string& key, double value);
    void set(const std::string& key, const json_text& value);
    std::string str() const;

private:
    struct holder;
    std::unique_ptr<holder> value_;
};

} // namespace figwinch::standin
