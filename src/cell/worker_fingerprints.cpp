#include "figwinch/cell/worker_fingerprints.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t bytes_per_fingerprint = 2;

std::uint16_t fingerprint_of(const worker_id& worker) {
    return static_cast<std::uint16_t>(stable_hash(worker.str()));
}

} // namespace

void worker_fingerprints::add(const worker_id& worker) {
    const std::uint16_t fingerprint = fingerprint_of(worker);
    const auto at = std::ranges::lower_bound(fingerprints_, fingerprint);
    if (at == fingerprints_.end() || *at != fingerprint)
        fingerprints_.insert(at, fingerprint);
}

bool worker_fingerprints::may_contain(const worker_id& worker) const {
    return std::ranges::binary_search(fingerprints_, fingerprint_of(worker));
}

bool worker_fingerprints::may_intersect(const worker_fingerprints& other) const {
    auto one = fingerprints_.begin();
    auto two = other.fingerprints_.begin();
    while (one != fingerprints_.end() && two != other.fingerprints_.end()) {
        if (*one == *two)
            return true;
        *one < *two ? ++one : ++two;
    }
    return false;
}

std::string worker_fingerprints::encode() const {
    std::string bytes;
    bytes.reserve(fingerprints_.size() * bytes_per_fingerprint);
    for (const std::uint16_t fingerprint : fingerprints_) {
        bytes.push_back(static_cast<char>(fingerprint >> bits_per_byte));
        bytes.push_back(static_cast<char>(fingerprint));
    }
    return bytes;
}

worker_fingerprints worker_fingerprints::decode(std::string_view bytes) {
    worker_fingerprints read;
    for (std::size_t at = 0; at + bytes_per_fingerprint <= bytes.size();
         at += bytes_per_fingerprint) {
        const auto high = static_cast<unsigned char>(bytes[at]);
        const auto low = static_cast<unsigned char>(bytes[at + 1]);
        read.fingerprints_.push_back(static_cast<std::uint16_t>((high << bits_per_byte) | low));
    }
    std::ranges::sort(read.fingerprints_);
    return read;
}

} // namespace figwinch
