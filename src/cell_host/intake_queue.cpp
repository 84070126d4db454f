#include "cell_host/intake_queue.h"

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
    bool full = false;
    for (intake_entry& entry : std::exchange(entries_, {})) {
        if (entry.is_complete())
            continue;
        full = full || taken.size() == max_entries ||
               (!taken.empty() && bytes + entry.bytes() > max_bytes);
        if (full || !accept(entry)) {
            entries_.push_back(std::move(entry));
            continue;
        }
        bytes += entry.bytes();
        taken.push_back(std::move(entry));
    }
    return taken;
}

intake_entries intake_queue::take_all() {
    return std::exchange(entries_, {});
}

} // namespace figwinch
