#include "interference/host_control.h"

#include <algorithm>

namespace figwinch {
namespace {

/// Services kept for one host; the one that was silent longest gives way.
constexpr std::size_t max_services = 16;

} // namespace

std::optional<host_control::worst_service> host_control::worst(instant now) const {
    std::optional<worst_service> found;
    for (const service_state& state : services) {
        if (!state.signal.is_current(now))
            continue;
        if (!found || state.signal.ratio() > found->ratio)
            found = worst_service{state.service, state.signal.ratio(), state.rate.load()};
    }
    return found;
}

host_control::service_state& host_control::state_of(const service_id& service) {
    const auto known = std::ranges::find(services, service, &service_state::service);
    if (known != services.end())
        return *known;
    if (services.size() < max_services)
        return services.emplace_back(service_state{.service = service});
    const auto heard = [](const service_state& state) { return state.signal.heard_at(); };
    const auto oldest = std::ranges::min_element(services, {}, heard);
    *oldest = service_state{.service = service};
    return *oldest;
}

instant host_control::last_heard() const {
    instant latest = first_seen;
    for (const service_state& state : services)
        latest = std::max(latest, state.signal.heard_at());
    return latest;
}

} // namespace figwinch
