#include "figwinch/routing/fair_queue.h"

#include <algorithm>

namespace figwinch {

void fair_queue::push(waiting_request request) {
    const auto [it, is_new] = flows_.try_emplace(request.customer);
    flow& target = it->second;
    target.share = std::max(1, request.share);
    if (is_new) {
        target.tag = virtual_time_ + 1.0 / target.share;
        order_.emplace(target.tag, request.customer);
    }
    target.waiting.push_back(std::move(request));
    ++size_;
}

const waiting_request* fair_queue::front() const {
    if (order_.empty())
        return nullptr;
    return &flows_.find(order_.begin()->second)->second.waiting.front();
}

std::optional<waiting_request> fair_queue::pop() {
    if (order_.empty())
        return std::nullopt;
    const auto it = flows_.find(order_.begin()->second);
    flow& source = it->second;
    waiting_request next = std::move(source.waiting.front());
    source.waiting.pop_front();
    --size_;
    virtual_time_ = source.tag;
    order_.erase(order_.begin());
    source.tag += 1.0 / source.share;
    if (source.waiting.empty())
        flows_.erase(it);
    else
        order_.emplace(source.tag, it->first);
    return next;
}

std::optional<waiting_request> fair_queue::remove(const customer_id& customer,
                                                  std::uint64_t number) {
    const auto it = flows_.find(customer);
    if (it == flows_.end())
        return std::nullopt;
    auto& waiting = it->second.waiting;
    const auto found = std::ranges::find(waiting, number, &waiting_request::number);
    if (found == waiting.end())
        return std::nullopt;
    waiting_request removed = std::move(*found);
    waiting.erase(found);
    --size_;
    retire(it);
    return removed;
}

std::optional<waiting_request> fair_queue::pop_heaviest() {
    if (flows_.empty())
        return std::nullopt;
    const auto it = flows_.find(heaviest()->first);
    waiting_request newest = std::move(it->second.waiting.back());
    it->second.waiting.pop_back();
    --size_;
    retire(it);
    return newest;
}

double fair_queue::ahead_of(const customer_id& customer, int share) const {
    const auto own = flows_.find(customer);
    const auto own_waiting = own == flows_.end() ? 0.0 : double(own->second.waiting.size());
    const double rounds = (own_waiting + 1) / std::max(1, share);
    double ahead = own_waiting;
    for (const auto& [name, other] : flows_)
        if (name != customer)
            ahead += std::min(double(other.waiting.size()), rounds * other.share);
    return ahead;
}

double fair_queue::load_of(const customer_id& customer, int share) const {
    const auto it = flows_.find(customer);
    return it == flows_.end() ? 0 : double(it->second.waiting.size()) / std::max(1, share);
}

double fair_queue::heaviest_load() const {
    return flows_.empty() ? 0 : load_of(heaviest()->second);
}

fair_queue::flow_map::const_iterator fair_queue::heaviest() const {
    return std::ranges::max_element(flows_, {},
                                    [](const auto& entry) { return load_of(entry.second); });
}

double fair_queue::load_of(const flow& it) {
    return double(it.waiting.size()) / it.share;
}

void fair_queue::retire(flow_map::iterator it) {
    if (!it->second.waiting.empty())
        return;
    order_.erase({it->second.tag, it->first});
    flows_.erase(it);
}

} // namespace figwinch
