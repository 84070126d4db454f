#include "figwinch/routing/executor_pool.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr int usual_weight = 64;

bool serves(const executor_spec& spec, const service_id& service) {
    return spec.services.empty() ||
           std::ranges::find(spec.services, service) != spec.services.end();
}

} // namespace

executor_pool::executor_pool(const settings& with, data_centre_id own, node_id self)
    : with_(with), own_(std::move(own)), self_(std::move(self)), entries_{self_},
      usual_(with.first_latency) {}

void executor_pool::configure(const manifest& config) {
    std::map<executor_id, slot_state> next;
    for (const executor_spec& spec : config.executors) {
        if (spec.data_centre != own_)
            continue;
        const auto known = slots_.find(spec.name);
        const bool same_place = known != slots_.end() && known->second.spec.address == spec.address;
        slot_state state = same_place ? known->second : slot_state(with_.breaker);
        state.spec = spec;
        next.emplace(spec.name, std::move(state));
    }
    const data_centre_spec* const here = find(config, own_);
    in_service_ = here == nullptr || here->in_service;
    slots_ = std::move(next);
    assign_owners();
}

void executor_pool::set_entries(std::span<const node_id> live) {
    entries_.assign(live.begin(), live.end());
    assign_owners();
}

void executor_pool::assign_owners() {
    owned_.clear();
    for (auto& [name, state] : slots_) {
        const auto weight = [&name = name](const node_id& node) {
            return rendezvous_weight(node.str(), name.str());
        };
        const auto owner = std::ranges::max_element(entries_, {}, weight);
        state.owned = owner != entries_.end() && *owner == self_;
        if (state.owned)
            owned_.push_back(&state);
    }
}

void executor_pool::set_listed_leaving(std::span<const executor_id> leaving) {
    for (auto& [name, state] : slots_)
        state.listed_leaving = std::ranges::find(leaving, name) != leaving.end();
}

std::optional<executor_id> executor_pool::acquire(const service_id& service,
                                                  std::span<const executor_id> tried, instant now) {
    slot_state* best = nullptr;
    double best_score = 0;
    for (slot_state* state : owned_) {
        if (state->busy >= state->spec.slots || !is_usable(*state, service, now))
            continue;
        if (std::ranges::find(tried, state->spec.name) != tried.end())
            continue;
        const double fill = double(state->busy + 1) / double(state->spec.slots);
        const double score = (1 + fill) * double(state->load.expected(usual_, now).count());
        if (best == nullptr || score < best_score) {
            best = state;
            best_score = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    ++best->busy;
    best->breaker.note_sent();
    return best->spec.name;
}

void executor_pool::release(const executor_id& name, dispatch_end end, duration latency,
                            instant now) {
    slot_state* state = find_state(name);
    if (state == nullptr)
        return;
    state->busy = std::max(0, state->busy - 1);
    switch (end) {
    case dispatch_end::answered:
        usual_ += (latency - usual_) / usual_weight;
        state->load.note(latency, now);
        state->breaker.note_success();
        break;
    case dispatch_end::refused:
    case dispatch_end::failed:
        // The executor is alive; a refusal says that its slots are taken, perhaps by a former
        // owner.
        state->breaker.note_neutral();
        break;
    case dispatch_end::unknown:
    case dispatch_end::not_sent:
    case dispatch_end::crossed:
        state->load.note(latency, now);
        state->breaker.note_failure(now);
        break;
    }
}

void executor_pool::note_leaving(const executor_id& name, instant now) {
    if (slot_state* state = find_state(name))
        state->leaving_until = now + with_.leaving_for;
}

void executor_pool::note_health(const executor_id& name, bool answered, bool leaving, instant now) {
    slot_state* state = find_state(name);
    if (state == nullptr)
        return;
    state->missed_checks = answered ? 0 : state->missed_checks + 1;
    if (!answered)
        return;
    // The executor's own word is newer than the lagging list and its earlier answers.
    state->leaving_until = leaving ? now + with_.leaving_for : instant{};
}

bool executor_pool::is_up(const slot_state& it, instant now) const {
    if (!in_service_ || it.listed_leaving || now < it.leaving_until)
        return false;
    return it.missed_checks < with_.missed_checks && it.breaker.allows(now);
}

bool executor_pool::is_usable(const slot_state& it, const service_id& service, instant now) const {
    return is_up(it, now) && serves(it.spec, service);
}

bool executor_pool::has_slot(const service_id& service, instant now) const {
    return std::ranges::any_of(owned_, [&](const slot_state* state) {
        return state->busy < state->spec.slots && is_usable(*state, service, now);
    });
}

int executor_pool::free_slots(const service_id& service, instant now) const {
    int free = 0;
    for (const slot_state* state : owned_)
        if (is_usable(*state, service, now))
            free += std::max(0, state->spec.slots - state->busy);
    return free;
}

int executor_pool::free_slots(instant now) const {
    int free = 0;
    for (const slot_state* state : owned_)
        if (is_up(*state, now))
            free += std::max(0, state->spec.slots - state->busy);
    return free;
}

int executor_pool::usable_slots(instant now) const {
    int all = 0;
    for (const slot_state* state : owned_)
        if (is_up(*state, now))
            all += state->spec.slots;
    return all;
}

int executor_pool::usable_slots(const service_id& service, instant now) const {
    int all = 0;
    for (const slot_state* state : owned_)
        if (is_usable(*state, service, now))
            all += state->spec.slots;
    return all;
}

std::vector<executor_spec> executor_pool::owned() const {
    std::vector<executor_spec> specs;
    specs.reserve(owned_.size());
    for (const slot_state* state : owned_)
        specs.push_back(state->spec);
    return specs;
}

std::vector<executor_report> executor_pool::take_reports() {
    std::vector<executor_report> reports;
    for (slot_state* state : owned_) {
        if (state->load.samples() == 0)
            continue;
        reports.push_back({state->spec.name, state->load.p99(), state->load.samples()});
        state->load.reset_report();
    }
    return reports;
}

executor_pool::slot_state* executor_pool::find_state(const executor_id& name) {
    const auto it = slots_.find(name);
    return it == slots_.end() ? nullptr : &it->second;
}

} // namespace figwinch
