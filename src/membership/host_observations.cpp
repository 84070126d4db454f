#include "figwinch/membership/host_observations.h"

namespace figwinch {

host_observations::host_observations(duration remembered) : remembered_(remembered) {}

void host_observations::note_list(const std::vector<host_entry>& hosts, instant asked_at) {
    listed_leaving_.clear();
    for (const host_entry& host : hosts)
        listed_leaving_[host.name] = host.is_leaving;
    advance(asked_at);
}

void host_observations::note_answer(const std::string& name, bool is_leaving, instant now) {
    own_[name] = {is_leaving, now};
}

// The list lags by seconds: a host that says it is leaving is believed before the list shows it. A
// host that the list calls leaving is believed to be, whatever it answered: its answers may come
// from before it was told.
bool host_observations::is_leaving(const std::string& name, instant now) const {
    const auto listed = listed_leaving_.find(name);
    if (listed != listed_leaving_.end() && listed->second)
        return true;
    const auto own = own_.find(name);
    return own != own_.end() && own->second.is_leaving && now - own->second.at <= remembered_;
}

void host_observations::advance(instant now) {
    std::erase_if(own_, [&](const auto& entry) { return now - entry.second.at > remembered_; });
}

} // namespace figwinch
