#include "cell/step_advice.h"

namespace figwinch {
namespace {

// A ticket isn't used this shortly before it expires, because the order must arrive before that.
constexpr duration ticket_margin = std::chrono::milliseconds(250);

} // namespace

void step_advice::take(const std::vector<worker_id>& asked, const worker_advice& advice,
                       duration usual_validity, instant sent) {
    for (const worker_id& worker : asked)
        verdicts_[worker] = verdict{};
    const instant until = sent + advice.valid.value_or(usual_validity) - ticket_margin;
    for (const worker_advice::row& row : advice.good)
        verdicts_[row.worker] = verdict{true, row.ticket, until, 0};
}

const std::string* step_advice::ticket(const worker_id& worker, std::uint64_t born_ms,
                                       instant now) const {
    const auto found = verdicts_.find(worker);
    if (found == verdicts_.end() || !found->second.good || now >= found->second.valid_until)
        return nullptr;
    const verdict& known = found->second;
    if (known.ticket.empty() || (known.born_ms != 0 && known.born_ms != born_ms))
        return nullptr;
    return &known.ticket;
}

void step_advice::bind_life(const worker_id& worker, std::uint64_t born_ms) {
    const auto found = verdicts_.find(worker);
    if (found != verdicts_.end() && found->second.born_ms == 0)
        found->second.born_ms = born_ms;
}

void step_advice::drop_ticket(const worker_id& worker) {
    const auto found = verdicts_.find(worker);
    if (found != verdicts_.end())
        found->second.ticket.clear();
}

bool step_advice::is_open(const worker_id& worker, std::uint64_t born_ms, instant now) const {
    const auto found = verdicts_.find(worker);
    if (found == verdicts_.end())
        return true;
    return found->second.good && ticket(worker, born_ms, now) == nullptr;
}

bool step_advice::is_good(const worker_id& worker) const {
    const auto found = verdicts_.find(worker);
    return found != verdicts_.end() && found->second.good;
}

} // namespace figwinch
