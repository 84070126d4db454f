#pragma once

#include "entry/final_answer.h"
#include "figwinch/routing.h"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace figwinch {

/// The answers to non-idempotent requests that this entry gave lately, so that a resend gets its
/// own whole answer although the request is not run again. Bounded in bytes; the oldest go first.
class answer_cache {
public:
    explicit answer_cache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    void put(const claim_key& key, const final_answer& answer);
    /// Null when there is none, or none any more.
    const final_answer* find(const claim_key& key) const;

private:
    static std::size_t size_of(const final_answer& answer);

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    absl::flat_hash_map<claim_key, final_answer> answers_;
    std::deque<claim_key> order_;
};

} // namespace figwinch
