#include "tests/scheduler/history.h"

#include <algorithm>

namespace figwinch::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration tick_every = 100ms;
constexpr duration call_timeout = 1s;
constexpr duration suspect_after = 1500ms;
constexpr duration dead_after = 5s;

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

void history::deliver(std::size_t index, int generation, std::function<void(node&)> call) {
    node& one = nodes_[index];
    if (!one.alive || one.generation != generation)
        return;
    if (now_ < one.frozen_until) {
        one.backlog.push_back([this, index, generation, call = std::move(call)] {
            if (nodes_[index].generation == generation)
                call(nodes_[index]);
        });
        return;
    }
    call(one);
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

void history::carry_out(node& one, scheduler_actions actions) {
    for (const worker_command& command : actions.commands)
        send_command(one, command);
    if (actions.append)
        append(one, actions.append->payload);
    for (const fence_ask& ask : actions.asks)
        ask_fence(one, ask);
    if (actions.read_log)
        one.next_read = now_;
}

void history::send_command(node& one, const worker_command& command) {
    const std::size_t from = index_of(one);
    const int generation = one.generation;
    const std::uint64_t token = command.token;
    at(now_ + call_timeout, [this, from, generation, token] {
        deliver(from, generation,
                [this, token](node& asker) { asker.core->on_no_worker_reply(token, now_); });
    });
    const auto place = std::ranges::find(workers_, command.worker,
                                         [](const worker& each) { return each.spec.name; });
    const auto index = static_cast<std::size_t>(place - workers_.begin());
    const int copies = chance(with_.loss) ? 0 : chance(with_.duplication) ? 2 : 1;
    if (now_ < one.cut_workers_until || now_ < place->cut_until)
        return;
    for (int i = 0; i < copies; ++i) {
        at(now_ + delay(), [this, index, body = command.body, from, generation, token] {
            worker& target = workers_[index];
            const auto arrive = [this, index, body, from, generation, token] {
                handle_command(workers_[index], body, from, generation, token);
            };
            if (now_ < target.frozen_until)
                at(target.frozen_until, arrive);
            else
                arrive();
        });
    }
}

void history::handle_command(worker& one, const pb::WorkerCommand& command, std::size_t from,
                             int generation, std::uint64_t token) {
    const auto before = one.model->histories().find(command.start().key().task());
    const int starts = before == one.model->histories().end() ? 0 : before->second.starts;
    const pb::WorkerReply reply = one.model->handle(command, now_);
    if (command.has_start() && reply.code() == 0 &&
        one.model->histories().at(command.start().key().task()).starts > starts)
        on_started(one, command.start());
    check_workers(one);
    if (chance(with_.loss) || now_ < one.cut_until || now_ < nodes_[from].cut_workers_until)
        return;
    at(now_ + delay(), [this, from, generation, token, reply] {
        deliver(from, generation, [this, token, reply](node& asker) {
            asker.core->on_worker_reply(token, reply, now_);
        });
    });
}

void history::append(node& one, const std::string& payload) {
    const std::size_t from = index_of(one);
    const int generation = one.generation;
    const auto answer = [this, from, generation](append_outcome outcome) {
        deliver(from, generation,
                [this, outcome](node& asker) { asker.core->on_append_outcome(outcome, now_); });
    };
    const bool lost = chance(with_.loss) || now_ < one.cut_log_until;
    const bool reply_lost = chance(with_.loss);
    const duration there = delay();
    if (lost) {
        at(now_ + call_timeout, [answer] { answer(append_outcome::silent); });
        return;
    }
    at(now_ + there, [this, payload, answer, reply_lost] {
        const bool available = log_.available;
        if (available)
            log_.append(payload, now_);
        const append_outcome outcome = reply_lost  ? append_outcome::silent
                                       : available ? append_outcome::acknowledged
                                                   : append_outcome::unavailable;
        at(now_ + (reply_lost ? call_timeout : delay()), [answer, outcome] { answer(outcome); });
    });
}

void history::read(node& one) {
    const std::size_t from = index_of(one);
    const int generation = one.generation;
    const instant sent_at = now_;
    one.reading = true;
    one.next_read = now_ + 200ms;
    const bool lost = chance(with_.loss) || now_ < one.cut_log_until;
    if (lost) {
        at(now_ + call_timeout, [this, from, generation] {
            deliver(from, generation, [](node& asker) { asker.reading = false; });
        });
        return;
    }
    at(now_ + delay(), [this, from, generation, sent_at, offset = one.core->next_offset()] {
        const bool available = log_.available;
        const log_page page = log_.read(offset, 20);
        const auto config = manifest_;
        const config_version version = version_;
        at(now_ + delay(), [this, from, generation, sent_at, available, page, config, version] {
            deliver(from, generation,
                    [this, sent_at, available, page, config, version](node& asker) {
                        asker.reading = false;
                        if (!available) {
                            asker.core->on_log_unavailable(sent_at);
                            asker.config.evidence().note_unavailable(sent_at);
                            return;
                        }
                        const bool newer = version > asker.config.version();
                        asker.config.set(config, version);
                        asker.config.evidence().note_confirmed(sent_at);
                        if (newer)
                            asker.core->on_config(now_);
                        asker.core->on_jobs_page(page, sent_at, now_);
                    });
        });
    });
}

void history::ask_fence(node& one, const fence_ask& ask) {
    const auto target = std::ranges::find(nodes_, ask.peer.incarnation,
                                          [](const node& each) { return each.incarnation; });
    const bool cut = target == nodes_.end() || now_ < one.cut_peers_until ||
                     now_ < target->cut_peers_until || chance(with_.loss);
    if (cut)
        return;
    const std::size_t from = index_of(one);
    const int generation = one.generation;
    const auto to = static_cast<std::size_t>(target - nodes_.begin());
    const instant asked_at = now_;
    at(now_ + delay(), [this, from, generation, to, asked_at, asker = one.incarnation,
                        query = ask.query, there = target->generation] {
        deliver(to, there, [this, from, generation, asked_at, asker, query](node& peer) {
            const pb::PeerReply reply = peer.core->on_fence_query(asker, query, now_);
            if (reply.code() != 0)
                return;
            at(now_ + delay(), [this, from, generation, asked_at, reply, who = peer.incarnation] {
                deliver(from, generation, [this, asked_at, reply, who](node& back) {
                    back.core->on_fence_reply(who, reply.fence(), asked_at, now_);
                });
            });
        });
    });
}

void history::heartbeat(node& one) {
    one.next_heartbeat = now_ + 500ms;
    const member self = self_of(one);
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        const bool cut = now_ < one.cut_peers_until || now_ < nodes_[to].cut_peers_until;
        if (to == index_of(one) || cut || chance(with_.loss))
            continue;
        at(now_ + delay(), [this, to, self, there = nodes_[to].generation] {
            deliver(to, there, [this, self](node& peer) {
                std::erase_if(peer.heard, [&self](const auto& each) {
                    return each.second.node == self.node &&
                           each.second.incarnation != self.incarnation;
                });
                member& known = peer.heard[self.incarnation];
                known = self;
                known.last_heard = now_;
            });
        });
    }
    tell_members(one);
}

void history::tell_members(node& one) {
    std::vector<member> members;
    for (auto& [incarnation, known] : one.heard) {
        member out = known;
        const duration silent = now_ - known.last_heard;
        if (silent > dead_after)
            out.state = member_state::dead;
        else if (silent > suspect_after)
            out.state = member_state::suspect;
        members.push_back(out);
    }
    const bool same = std::ranges::equal(members, one.told, [](const member& a, const member& b) {
        return a.incarnation == b.incarnation && a.state == b.state;
    });
    if (same)
        return;
    one.told = members;
    one.core->on_members(members, now_);
}

} // namespace figwinch::testing
