#include "link/link_codec.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

// The index of a value is its number on the wire: append new values, never reorder.
constexpr std::array outcomes = {
    order_outcome::done,
    order_outcome::superseded,
    order_outcome::too_late,
    order_outcome::no_room,
    order_outcome::not_advised,
    order_outcome::refused,
    order_outcome::other_incarnation,
    order_outcome::not_sent,
    order_outcome::unknown,
    order_outcome::dropped,
};
constexpr std::array ends = {run_end::done,          run_end::failed,     run_end::stopped,
                             run_end::lease_expired, run_end::gang_ended, run_end::gang_timeout};

template <class Values, class Value>
std::uint32_t number_of(const Values& values, Value value) {
    return static_cast<std::uint32_t>(std::ranges::find(values, value) - values.begin());
}

} // namespace

order_outcome outcome_of(const pb::LinkResult& result) {
    return result.outcome() < outcomes.size() ? outcomes[result.outcome()] : order_outcome::unknown;
}

order_answer answer_of(const pb::LinkResult& result) {
    order_answer answer;
    answer.outcome = outcome_of(result);
    if (result.has_clock_ms())
        answer.clock_ms = result.clock_ms();
    answer.may_reach_other_incarnation = !result.one_life();
    return answer;
}

worker_report report_of(const pb::LinkReport& message) {
    worker_report report;
    report.clock_ms = message.clock_ms();
    report.incarnation = message.born_ms();
    report.running.reserve(static_cast<std::size_t>(message.running_size()));
    for (const pb::LinkRun& row : message.running())
        report.running.push_back({row.task(), run_number(row.run()), row.checkpoint(),
                                  static_cast<int>(std::min(row.percent(), 100U)), row.recent()});
    for (const pb::LinkEnd& row : message.ended())
        if (row.how() < ends.size())
            report.ended.push_back({row.number(), row.task(), run_number(row.run()),
                                    ends[row.how()], row.checkpoint()});
    report.has_more_ended = message.more_ended();
    return report;
}

void put_outcome(order_outcome outcome, pb::LinkResult& result) {
    result.set_outcome(number_of(outcomes, outcome));
}

void put_answer(const order_answer& answer, pb::LinkResult& result) {
    put_outcome(answer.outcome, result);
    if (answer.clock_ms)
        result.set_clock_ms(*answer.clock_ms);
    result.set_one_life(!answer.may_reach_other_incarnation);
}

void put_end(const ended_run& row, pb::LinkEnd& message) {
    message.set_number(row.sequence);
    message.set_task(row.task);
    message.set_run(row.run.value());
    message.set_how(number_of(ends, row.reason));
    message.set_checkpoint(row.checkpoint);
}

} // namespace figwinch
