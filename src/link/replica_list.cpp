#include "figwinch/link/replica_list.h"

#include <algorithm>
#include <utility>

namespace figwinch {

replica_list::replica_list(std::vector<read_replica> entries) : entries_(std::move(entries)) {
    std::ranges::sort(entries_, {}, &read_replica::bus_address);
    std::string text;
    for (const read_replica& replica : entries_)
        text += replica.bus_address + "=" + replica.data_centre.str() + "\n";
    digest_ = std::max<std::uint64_t>(1, stable_hash(text));
}

} // namespace figwinch
