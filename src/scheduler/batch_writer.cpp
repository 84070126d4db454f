#include "scheduler/batch_writer.h"

#include <algorithm>
#include <iterator>

namespace figwinch {
namespace {

/// Keeps a record well under the size that a log takes.
constexpr std::size_t max_events = 2000;

} // namespace

batch_writer::batch_writer(incarnation_id self, data_centre_id centre, duration flush_every,
                           duration retry_after)
    : self_(std::move(self)), centre_(std::move(centre)), flush_every_(flush_every),
      retry_after_(retry_after) {}

void batch_writer::add(pb::JobEvent event) {
    waiting_.push_back(std::move(event));
}

std::optional<std::string> batch_writer::due(instant now) {
    if (asked_ || now < next_)
        return std::nullopt;
    if (payload_.empty()) {
        if (waiting_.empty())
            return std::nullopt;
        build();
    }
    asked_ = true;
    next_ = now + flush_every_;
    return payload_;
}

void batch_writer::build() {
    const auto count = static_cast<std::ptrdiff_t>(std::min(waiting_.size(), max_events));
    written_.assign(std::make_move_iterator(waiting_.begin()),
                    std::make_move_iterator(waiting_.begin() + count));
    waiting_.erase(waiting_.begin(), waiting_.begin() + count);
    pb::JobBatch batch;
    batch.set_record_id(self_.str() + ':' + std::to_string(++number_));
    batch.set_writer(self_.str());
    batch.set_data_centre(centre_.str());
    for (const pb::JobEvent& event : written_)
        *batch.add_events() = event;
    payload_ = batch.SerializeAsString();
    maybe_appended_ = false;
}

void batch_writer::on_outcome(append_outcome outcome, instant now) {
    if (!asked_)
        return;
    asked_ = false;
    if (payload_.empty())
        return;
    next_ = now + retry_after_;
    if (outcome != append_outcome::unavailable) {
        maybe_appended_ = true;
        return;
    }
    if (maybe_appended_)
        return;
    // Surely not in the log: the events may still be withdrawn.
    waiting_.insert(waiting_.begin(), std::make_move_iterator(written_.begin()),
                    std::make_move_iterator(written_.end()));
    written_.clear();
    payload_.clear();
    --number_;
}

void batch_writer::on_folded(std::uint64_t number) {
    if (payload_.empty() || number < number_)
        return;
    payload_.clear();
    written_.clear();
}

std::size_t batch_writer::withdraw(const std::function<bool(const pb::JobEvent&)>& matches) {
    return std::erase_if(waiting_, matches);
}

} // namespace figwinch
