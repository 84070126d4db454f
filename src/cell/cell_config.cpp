#include "figwinch/cell/cell_config.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace figwinch {

const queue_config* cell_config::match(std::string_view host, std::string_view path) const {
    const queue_config* best = nullptr;
    for (const queue_config& queue : queues) {
        const bool same_host =
            absl::EqualsIgnoreCase(absl::string_view(host.data(), host.size()), queue.host);
        if (!same_host || !path.starts_with(queue.path_prefix))
            continue;
        if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

const queue_config* cell_config::find(const queue_name& name) const {
    const auto found = std::ranges::find(queues, name, &queue_config::name);
    return found == queues.end() ? nullptr : &*found;
}

} // namespace figwinch
