#include "cell/step_advice.h"

namespace figwinch {
namespace {

// A ticket isn't used this shortly before it expires, because the order must arrive before that.
constexpr duration ticket_margin = std::chrono::milliseconds(250);

} // namespace

void step_advice::apply_answer(const std::vector<worker_id>& asked, const worker_advice& advice,
                               duration default_validity, instant sent) {
    for (const worker_id& worker : asked)
        verdicts_[worker] = verdict{};
    const instant until = sent + advice.ticket_validity.value_or(default_validity) - ticket_margin;
    for (const worker_advice::permit& row : advice.allowed)
        verdicts_[row.worker] = verdict{true, row.ticket, until, 0};
}

const std::string* step_advice::ticket(const worker_id& worker, std::uint64_t incarnation,
                                       instant now) const {
    const auto found = verdicts_.find(worker);
    if (found == verdicts_.end() || !found->second.allowed || now >= found->second.valid_until)
        return nullptr;
    const verdict& known = found->second;
    if (known.ticket.empty() || (known.incarnation != 0 && known.incarnation != incarnation))
        return nullptr;
    return &known.ticket;
}

void step_advice::bind_incarnation(const worker_id& worker, std::uint64_t incarnation) {
    const auto found = verdicts_.find(worker);
    if (found != verdicts_.end() && found->second.incarnation == 0)
        found->second.incarnation = incarnation;
}

void step_advice::drop_ticket(const worker_id& worker) {
    const auto found = verdicts_.find(worker);
    if (found != verdicts_.end())
        found->second.ticket.clear();
}

bool step_advice::should_ask(const worker_id& worker, std::uint64_t incarnation,
                             instant now) const {
    const auto found = verdicts_.find(worker);
    if (found == verdicts_.end())
        return true;
    return found->second.allowed && ticket(worker, incarnation, now) == nullptr;
}

bool step_advice::is_allowed(const worker_id& worker) const {
    const auto found = verdicts_.find(worker);
    return found != verdicts_.end() && found->second.allowed;
}

} // namespace figwinch
