#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <utility>

namespace figwinch {

/// A 64-bit number of one kind (a version, an offset, an epoch). Zero means "none yet".
template <class Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }
    constexpr bool is_none() const { return value_ == 0; }
    constexpr strong_number next() const { return strong_number(value_ + 1); }

    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(strong_number, strong_number) = default;
    friend std::ostream& operator<<(std::ostream& out, strong_number number) {
        return out << number.value_;
    }
    template <class Hash>
    friend Hash AbslHashValue(Hash state, strong_number number) {
        return Hash::combine(std::move(state), number.value_);
    }

private:
    std::uint64_t value_ = 0;
};

} // namespace figwinch

template <class Tag>
struct std::hash<figwinch::strong_number<Tag>> {
    std::size_t operator()(figwinch::strong_number<Tag> number) const {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
