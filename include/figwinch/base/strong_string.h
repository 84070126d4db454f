#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace figwinch {

/// A string that names one kind of thing. `Tag` keeps different kinds from being mixed up.
template <class Tag>
class strong_string {
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_(std::move(value)) {}
    explicit strong_string(std::string_view value) : value_(value) {}
    explicit strong_string(const char* value) : value_(value) {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_string&, const strong_string&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_string& id) {
        return out << id.value_;
    }
    template <class Hash>
    friend Hash AbslHashValue(Hash state, const strong_string& id) {
        return Hash::combine(std::move(state), id.value_);
    }

private:
    std::string value_;
};

} // namespace figwinch

template <class Tag>
struct std::hash<figwinch::strong_string<Tag>> {
    std::size_t operator()(const figwinch::strong_string<Tag>& id) const {
        return std::hash<std::string>{}(id.str());
    }
};
