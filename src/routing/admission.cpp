#include "figwinch/routing/admission.h"

#include <algorithm>
#include <cmath>

namespace figwinch {

admission_result admission::offer(waiting_request request, const service_pace& pace, instant now) {
    admission_result result;
    result.predicted_wait = predicted_wait(request, pace);
    if (now + result.predicted_wait + pace.work > request.deadline) {
        result.code = result_code::deadline_unreachable;
        return result;
    }
    const std::size_t own_lane = lane_of(request.request_class);
    if (index_.size() >= with_.max_waiting) {
        result.shed = make_room(request, own_lane);
        if (!result.shed.has_value()) {
            const fair_queue& own = lanes_[own_lane][request.service];
            result.code =
                own.customers() > 1 ? result_code::customer_over_share : result_code::queue_full;
            return result;
        }
    }
    index_[request.number] = {own_lane, request.service, request.customer, request.deadline};
    by_deadline_.emplace(request.deadline, request.number);
    fair_queue& queue = lanes_[own_lane][request.service];
    queue.push(std::move(request));
    return result;
}

std::optional<waiting_request>
admission::take(const std::function<bool(const service_id&)>& has_slot) {
    for (lane& one : lanes_) {
        fair_queue* oldest = nullptr;
        for (auto& [service, queue] : one) {
            if (queue.size() == 0 || !has_slot(service))
                continue;
            if (oldest == nullptr || queue.front()->since < oldest->front()->since)
                oldest = &queue;
        }
        if (oldest == nullptr)
            continue;
        auto next = oldest->pop();
        forget(next->number);
        return next;
    }
    return std::nullopt;
}

std::vector<waiting_request>
admission::give_up(const std::function<duration(const service_id&)>& work_time,
                   duration longest_work, instant now) {
    std::vector<std::uint64_t> late;
    for (const auto& [deadline, number] : by_deadline_) {
        if (deadline > now + longest_work)
            break;
        if (now + work_time(index_[number].service) > deadline)
            late.push_back(number);
    }
    std::vector<waiting_request> given_up;
    for (const std::uint64_t number : late) {
        const location where = index_[number];
        auto removed = lanes_[where.lane][where.service].remove(where.customer, number);
        if (removed.has_value())
            given_up.push_back(std::move(*removed));
        forget(number);
    }
    return given_up;
}

bool admission::remove(std::uint64_t number) {
    const auto it = index_.find(number);
    if (it == index_.end())
        return false;
    const location where = it->second;
    lanes_[where.lane][where.service].remove(where.customer, number);
    forget(number);
    return true;
}

duration admission::predicted_wait(const waiting_request& request, const service_pace& pace) const {
    const std::size_t own_lane = lane_of(request.request_class);
    double ahead = 0;
    for (std::size_t i = 0; i <= own_lane; ++i) {
        const auto queue = lanes_[i].find(request.service);
        if (queue == lanes_[i].end())
            continue;
        ahead += i < own_lane ? double(queue->second.size())
                              : queue->second.ahead_of(request.customer, request.share);
    }
    // One slot becomes free every work/slots.
    return duration(std::llround(ahead * double(pace.work.count()) / std::max(1, pace.slots)));
}

std::size_t admission::lane_of(work_class value) {
    switch (value) {
    case work_class::urgent:
        return 0;
    case work_class::bulk:
        return 2;
    default:
        return 1;
    }
}

std::optional<shed_request> admission::make_room(const waiting_request& newcomer,
                                                 std::size_t own_lane) {
    for (std::size_t i = classes; i-- > own_lane;) {
        for (auto& [service, queue] : lanes_[i]) {
            if (queue.size() == 0)
                continue;
            const bool lower = i > own_lane;
            // Within its own class a newcomer replaces only a customer that waits with more per
            // share than itself; otherwise a flood would push out its rivals.
            const double own_load =
                queue.load_of(newcomer.customer, newcomer.share) + 1.0 / newcomer.share;
            const bool lighter = service == newcomer.service && own_load < queue.heaviest_load();
            if (!lower && !lighter)
                continue;
            auto victim = queue.pop_heaviest();
            forget(victim->number);
            return shed_request{victim->number,
                                lower ? result_code::queue_full : result_code::customer_over_share};
        }
    }
    return std::nullopt;
}

void admission::forget(std::uint64_t number) {
    const auto it = index_.find(number);
    if (it == index_.end())
        return;
    by_deadline_.erase({it->second.deadline, number});
    index_.erase(it);
}

} // namespace figwinch
