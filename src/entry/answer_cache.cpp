#include "entry/answer_cache.h"

namespace figwinch {
namespace {

/// Of one entry in the map and the queue, besides its texts.
constexpr std::size_t fixed_bytes = 256;

} // namespace

void answer_cache::put(const claim_key& key, const final_answer& answer) {
    const std::size_t size = size_of(answer);
    if (size > max_bytes_ || !answers_.try_emplace(key, answer).second)
        return;
    bytes_ += size;
    order_.push_back(key);
    while (bytes_ > max_bytes_) {
        const auto oldest = answers_.find(order_.front());
        bytes_ -= size_of(oldest->second);
        answers_.erase(oldest);
        order_.pop_front();
    }
}

const final_answer* answer_cache::find(const claim_key& key) const {
    const auto known = answers_.find(key);
    return known == answers_.end() ? nullptr : &known->second;
}

std::size_t answer_cache::size_of(const final_answer& answer) {
    return fixed_bytes + answer.body.size() + answer.reason.size() + answer.content_type.size();
}

} // namespace figwinch
