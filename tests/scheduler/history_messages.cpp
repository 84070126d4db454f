#include "tests/scheduler/history.h"

#include <algorithm>

namespace figwinch::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration call_timeout = 1s;
constexpr duration suspect_after = 1500ms;
constexpr duration dead_after = 5s;
constexpr std::size_t page_records = 20;

} // namespace

void history::deliver(process to, std::function<void(node&)> call) {
    node& one = nodes_[to.index];
    if (!one.alive || one.generation != to.generation)
        return;
    if (now_ >= one.frozen_until)
        return call(one);
    one.backlog.push_back([this, to, call = std::move(call)] {
        if (nodes_[to.index].generation == to.generation)
            call(nodes_[to.index]);
    });
}

void history::send_to(process to, std::function<void(node&)> call) {
    at(now_ + delay(), [this, to, call = std::move(call)] { deliver(to, call); });
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
    const process from = process_of(one);
    const std::uint64_t token = command.token;
    at(now_ + call_timeout, [this, from, token] {
        deliver(from, [this, token](node& asker) { asker.core->on_no_worker_reply(token, now_); });
    });
    const auto place = std::ranges::find(workers_, command.worker,
                                         [](const worker& each) { return each.spec.name; });
    const auto index = static_cast<std::size_t>(place - workers_.begin());
    int copies = chance(with_.duplication) ? 2 : 1;
    if (chance(with_.loss) || now_ < one.cut_workers_until || now_ < place->cut_until)
        copies = 0;
    for (int i = 0; i < copies; ++i) {
        at(now_ + delay(),
           [this, index, body = command.body, from, token] { arrive(index, body, from, token); });
    }
}

void history::arrive(std::size_t index, const pb::WorkerCommand& body, process from,
                     std::uint64_t token) {
    worker& target = workers_[index];
    if (now_ >= target.frozen_until)
        return handle_command(target, body, from, token);
    at(target.frozen_until, [this, index, body, from, token] { arrive(index, body, from, token); });
}

void history::handle_command(worker& one, const pb::WorkerCommand& command, process from,
                             std::uint64_t token) {
    const auto before = one.model->histories().find(command.start().key().task());
    const int starts = before == one.model->histories().end() ? 0 : before->second.starts;
    const pb::WorkerReply reply = one.model->handle(command, now_);
    if (command.has_start() && reply.code() == 0 &&
        one.model->histories().at(command.start().key().task()).starts > starts)
        on_started(one, command.start());
    check_workers(one);
    if (chance(with_.loss) || now_ < one.cut_until || now_ < nodes_[from.index].cut_workers_until)
        return;
    send_to(from,
            [this, token, reply](node& asker) { asker.core->on_worker_reply(token, reply, now_); });
}

void history::append(node& one, const std::string& payload) {
    const process from = process_of(one);
    const auto answer = [this, from](append_outcome outcome, duration after) {
        at(now_ + after, [this, from, outcome] {
            deliver(from,
                    [this, outcome](node& asker) { asker.core->on_append_outcome(outcome, now_); });
        });
    };
    if (chance(with_.loss) || now_ < one.cut_log_until)
        return answer(append_outcome::silent, call_timeout);
    const bool reply_lost = chance(with_.loss);
    at(now_ + delay(), [this, payload, answer, reply_lost] {
        if (log_.available)
            log_.append(payload, now_);
        if (reply_lost)
            answer(append_outcome::silent, call_timeout);
        else
            answer(log_.available ? append_outcome::acknowledged : append_outcome::unavailable,
                   delay());
    });
}

void history::read(node& one) {
    const process from = process_of(one);
    const instant sent_at = now_;
    one.reading = true;
    one.next_read = now_ + 200ms;
    if (chance(with_.loss) || now_ < one.cut_log_until) {
        at(now_ + call_timeout,
           [this, from] { deliver(from, [](node& asker) { asker.reading = false; }); });
        return;
    }
    at(now_ + delay(), [this, from, sent_at, offset = one.core->next_offset()] {
        answer_read(from, sent_at, offset);
    });
}

void history::answer_read(process from, instant sent_at, log_offset offset) {
    const log_answer answer{log_.available, log_.read(offset, page_records), manifest_, version_};
    send_to(from, [this, sent_at, answer](node& asker) { take_read(asker, sent_at, answer); });
}

void history::take_read(node& one, instant sent_at, const log_answer& answer) {
    one.reading = false;
    if (!answer.available) {
        one.core->on_log_unavailable(sent_at);
        one.config.evidence().note_unavailable(sent_at);
        return;
    }
    const bool newer = answer.version > one.config.version();
    one.config.set(answer.config, answer.version);
    one.config.evidence().note_confirmed(sent_at);
    if (newer)
        one.core->on_config(now_);
    if (one.core->next_offset() < answer.page.first_kept)
        one.core->on_log_truncated(answer.page.first_kept, now_);
    else
        one.core->on_jobs_page(answer.page, sent_at, now_);
}

void history::ask_fence(node& one, const fence_ask& ask) {
    const auto target = std::ranges::find(nodes_, ask.peer.incarnation,
                                          [](const node& each) { return each.incarnation; });
    const bool cut = target == nodes_.end() || now_ < one.cut_peers_until ||
                     now_ < target->cut_peers_until || chance(with_.loss);
    if (cut)
        return;
    send_to(process_of(*target), [this, from = process_of(one), asked_at = now_, query = ask.query](
                                     node& peer) { answer_fence(peer, from, asked_at, query); });
}

void history::answer_fence(node& peer, process from, instant asked_at,
                           const pb::FenceQuery& query) {
    const pb::PeerReply reply =
        peer.core->on_fence_query(nodes_[from.index].incarnation, query, now_);
    if (reply.code() != 0)
        return;
    send_to(from, [this, asked_at, reply, who = peer.incarnation](node& back) {
        back.core->on_fence_reply(who, reply.fence(), asked_at, now_);
    });
}

void history::heartbeat(node& one) {
    one.next_heartbeat = now_ + 500ms;
    const member self = self_of(one);
    const resources room = one.core->largest_room(now_);
    for (node& peer : nodes_) {
        const bool cut = now_ < one.cut_peers_until || now_ < peer.cut_peers_until;
        if (&peer == &one || cut || chance(with_.loss))
            continue;
        send_to(process_of(peer), [this, self, room](node& to) {
            hear(to, self, now_);
            to.core->on_peer_room(self.incarnation, room);
        });
    }
    tell_members(one);
}

void history::hear(node& one, const member& peer, instant now) {
    std::erase_if(one.heard, [&peer](const auto& each) {
        return each.second.node == peer.node && each.second.incarnation != peer.incarnation;
    });
    member& known = one.heard[peer.incarnation];
    known = peer;
    known.last_heard = now;
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
