#include "tests/scheduler/history.h"

#include <algorithm>

namespace figwinch::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_every = 100ms;

} // namespace

history::history(const history_options& with) : with_(with), random_(with.seed) {
    build();
}

history::~history() = default;

void history::at(instant when, std::function<void()> call) {
    events_.push({when, ++order_, std::move(call)});
}

bool history::chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

std::int64_t history::pick(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
}

duration history::delay() {
    if (chance(0.02))
        return std::chrono::milliseconds(pick(200, 1500));
    return std::chrono::milliseconds(pick(1, 20));
}

void history::run_until(instant end) {
    while (now_ < end && violation_.empty()) {
        while (!events_.empty() && events_.top().at <= now_ && violation_.empty()) {
            const std::function<void()> call = events_.top().call;
            events_.pop();
            call();
        }
        log_.expire(now_ - with_.retention);
        for (node& one : nodes_)
            step(one);
        now_ += tick_every;
    }
}

void history::step(node& one) {
    if (!one.alive || now_ < one.frozen_until)
        return;
    // A process that wakes may look at its clock before it reads what has arrived meanwhile.
    const bool tick_first = !one.backlog.empty() && chance(0.5);
    if (tick_first)
        carry_out(one, one.core->tick(now_));
    std::vector<std::function<void()>> backlog;
    backlog.swap(one.backlog);
    for (const auto& call : backlog)
        call();
    if (now_ >= one.next_heartbeat)
        heartbeat(one);
    if (now_ >= one.next_read && !one.reading)
        read(one);
    carry_out(one, one.core->tick(now_));
    const bool restart = one.core->is_deposed() || one.stopping;
    if (restart && one.core->is_stopped()) {
        kill(one);
        at(now_ + 1s, [this, index = index_of(one)] { launch(nodes_[index]); });
    }
}

void history::launch(node& one) {
    if (one.alive)
        return;
    ++one.generation;
    one.incarnation = incarnation_id(one.name.str() + '#' + std::to_string(one.generation));
    one.config = fake_config_view{};
    one.heard.clear();
    one.told.clear();
    one.reading = false;
    one.next_read = now_;
    one.next_heartbeat = now_;
    one.stopping = false;
    one.frozen_until = now_;
    scheduler_settings with;
    with.self = self_of(one);
    with.renew_unconfirmed = 10s;
    with.snapshot_every = 10s;
    one.core = std::make_unique<scheduler_core>(with, one.config, scheduler_policies{}, now_);
    one.alive = true;
}

void history::kill(node& one) {
    one.alive = false;
    one.backlog.clear();
    one.core.reset();
}

member history::self_of(const node& one) const {
    member self;
    self.node = one.name;
    self.incarnation = one.incarnation;
    self.role = member_role::scheduler;
    self.data_centre = one.centre;
    self.address = one.name.str();
    self.state = one.stopping ? member_state::leaving : member_state::live;
    return self;
}

} // namespace figwinch::testing
