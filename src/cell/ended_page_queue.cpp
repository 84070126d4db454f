#include "cell/ended_page_queue.h"

#include <algorithm>

namespace figwinch {

bool ended_page_queue::admit(const worker_id& worker) {
    if (admitted_.contains(worker))
        return true;
    if (admitted_.size() < max_admitted_) {
        std::erase(waiting_, worker);
        admitted_.insert(worker);
        return true;
    }
    if (std::ranges::find(waiting_, worker) == waiting_.end())
        waiting_.push_back(worker);
    return false;
}

std::optional<worker_id> ended_page_queue::remove(const worker_id& worker) {
    if (admitted_.erase(worker) == 0) {
        std::erase(waiting_, worker);
        return std::nullopt;
    }
    if (waiting_.empty())
        return std::nullopt;
    const worker_id next = waiting_.front();
    waiting_.pop_front();
    admitted_.insert(next);
    return next;
}

} // namespace figwinch
