#include "cell_host/intake_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figwinch {
namespace {

constexpr std::size_t max_bytes = std::size_t{64} * 1024;

} // namespace

void intake_queue::put_back(intake_entries entries) {
    entries_.insert(entries_.begin(), std::make_move_iterator(entries.begin()),
                    std::make_move_iterator(entries.end()));
}

intake_entries intake_queue::take(const std::function<bool(const intake_entry&)>& accept) {
    intake_entries taken;
    std::size_t bytes = 0;
    std::size_t most = max_entries;
    bool full = false;
    for (intake_entry& entry : std::exchange(entries_, {})) {
        if (entry.is_complete())
            continue;
        const std::size_t most_with =
            entry.max_batch_entries > 0 ? std::min(most, entry.max_batch_entries) : most;
        full = full || taken.size() >= most_with ||
               (!taken.empty() && bytes + entry.bytes() > max_bytes);
        if (full || !accept(entry)) {
            entries_.push_back(std::move(entry));
            continue;
        }
        most = most_with;
        bytes += entry.bytes();
        taken.push_back(std::move(entry));
    }
    return taken;
}

intake_entries intake_queue::take_all() {
    return std::exchange(entries_, {});
}

} // namespace figwinch
