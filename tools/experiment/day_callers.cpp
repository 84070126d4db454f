#include "tools/experiment/day_callers.h"

#include "figwinch/cell/record_codec.h"
#include "tools/experiment/day_watch.h"

#include <algorithm>

namespace figwinch::experiment {
namespace {

constexpr duration follow_period = std::chrono::milliseconds(50);
constexpr duration patience = std::chrono::seconds(3);

/// By the submitter's guesses.
duration longest_chain(const job_spec& job) {
    std::vector<duration> ends;
    for (const step_spec& step : job.steps) {
        duration begin{};
        for (const std::uint32_t earlier : step.depends_on)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimate);
    }
    return *std::ranges::max_element(ends);
}

} // namespace

void day_callers::begin_day() {
    for (std::size_t job = 0; job < jobs_.size(); ++job)
        time_.after(jobs_[job].at, [this, job] { hand_in(job); });
    follow();
}

void day_callers::hand_in(std::size_t job) {
    followed_job& known = followed_[job];
    job_spec spec = jobs_[job].spec;
    spec.accepted_at = time_.clock().wall_now();
    known.handed_in = time_.now();
    known.objective = time_.now() + spec.target +
                      std::chrono::duration_cast<duration>(longest_chain(spec) * spec.stretch);
    ++unanswered_;
    host_.writer().write(
        {{record_key(record_kind::job, day_watch::id_of(job)), encode_job(spec), 0}},
        time_.now() + patience,
        [this, job](intake_outcome outcome, std::uint64_t) { take_answer(job, outcome); });
}

void day_callers::take_answer(std::size_t job, intake_outcome outcome) {
    --unanswered_;
    if (outcome != intake_outcome::stored)
        return;
    followed_[job].accepted = true;
    if (!jobs_[job].spec.steps.front().is_service)
        open_.push_back(job);
}

void day_callers::follow() {
    std::erase_if(open_, [this](std::size_t job) {
        const job_entry* const entry = host_.state().find(job_id(day_watch::id_of(job)));
        if (entry == nullptr || entry->phase == job_phase::open)
            return false;
        followed_[job].ended = time_.now();
        followed_[job].succeeded = entry->phase == job_phase::succeeded;
        return true;
    });
    time_.after(follow_period, [this] { follow(); });
}

} // namespace figwinch::experiment
