#include "figwinch/cell/worker_marks.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t bytes_per_mark = 2;

std::uint16_t mark_of(const worker_id& worker) {
    return static_cast<std::uint16_t>(stable_hash(worker.str()));
}

} // namespace

void worker_marks::add(const worker_id& worker) {
    const std::uint16_t mark = mark_of(worker);
    const auto at = std::ranges::lower_bound(marks_, mark);
    if (at == marks_.end() || *at != mark)
        marks_.insert(at, mark);
}

bool worker_marks::may_have(const worker_id& worker) const {
    return std::ranges::binary_search(marks_, mark_of(worker));
}

bool worker_marks::meets(const worker_marks& other) const {
    auto one = marks_.begin();
    auto two = other.marks_.begin();
    while (one != marks_.end() && two != other.marks_.end()) {
        if (*one == *two)
            return true;
        *one < *two ? ++one : ++two;
    }
    return false;
}

std::string worker_marks::encode() const {
    std::string bytes;
    bytes.reserve(marks_.size() * bytes_per_mark);
    for (const std::uint16_t mark : marks_) {
        bytes.push_back(static_cast<char>(mark >> bits_per_byte));
        bytes.push_back(static_cast<char>(mark));
    }
    return bytes;
}

worker_marks worker_marks::decode(std::string_view bytes) {
    worker_marks read;
    for (std::size_t at = 0; at + bytes_per_mark <= bytes.size(); at += bytes_per_mark) {
        const auto high = static_cast<unsigned char>(bytes[at]);
        const auto low = static_cast<unsigned char>(bytes[at + 1]);
        read.marks_.push_back(static_cast<std::uint16_t>((high << bits_per_byte) | low));
    }
    std::ranges::sort(read.marks_);
    return read;
}

} // namespace figwinch
