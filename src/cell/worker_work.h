#pragma once

#include "cell/throttle_controller.h"
#include "cell/worker_clock.h"
#include "figwinch/cell/worker_listing.h"
#include "figwinch/placement/candidate_index.h"

#include <map>
#include <optional>
#include <vector>

namespace figwinch {

struct task_work;

/// A worker in the coordinator's hands.
struct worker_work {
    worker_slot slot = 0;
    worker_listing listing;
    bool listed = false;
    /// The life that reported last; 0 before the first report.
    std::uint64_t born_ms = 0;
    worker_clock clock;
    /// The latest end of lease that was ever ordered, on the worker's clock.
    std::int64_t latest_until_ms = 0;
    /// The log says that this life may have tasks: a successor will ask it.
    bool registered = false;
    bool registering = false;
    /// It has reported under this epoch: earlier epochs can order nothing there.
    bool heard = false;
    bool hold_in_flight = false;
    /// Holds in a row without an answer. Its lease isn't prolonged meanwhile.
    int unanswered = 0;
    /// The log says that its lease isn't prolonged, or is about to: so it isn't.
    bool silent = false;
    instant next_hold{};
    instant reported_at{};
    /// A report had a run that its number doesn't tell.
    bool wants_names = false;
    /// Reports taken in.
    std::uint64_t reports = 0;
    /// Since when its lease must have been over; none: it may not be.
    instant over_since{};
    /// Ends up to `seen` were taken in, up to `noted` recorded in the log.
    std::uint64_t seen = 0;
    std::uint64_t noted = 0;
    /// What the runs here take; of filling tasks the memory and accelerators only.
    resources taken;
    /// What runs here take that aren't wanted and haven't gone yet, by the last report; nothing
    /// when that isn't known.
    std::optional<resources> strays = resources{};
    /// Room that is left to lasting tasks which have no run, here or anywhere.
    resources kept;
    /// Processors that filling tasks here would use, thousandths.
    std::int64_t filling_cpu = 0;
    /// Processors of lasting tasks here, thousandths; part of `taken`.
    std::int64_t lasting_cpu = 0;
    std::vector<task_work*> tasks;
    /// No starts before then, after refusals or failures.
    instant rest_until{};
    /// Failed runs of different jobs without a good end between.
    std::uint32_t failures_in_row = 0;
    job_id last_failed_job;
    throttle_controller sharing;
    /// For placement: what fills here at full speed, and how many tasks of each image serve here.
    std::vector<image_share> filling_images;
    std::map<image_number, int> serving;
    /// As `candidate_index` has it while the worker takes starts.
    worker_offer offer;
    /// Of its labels and its rack; the first ones of `offer.tags`.
    std::vector<tag_number> label_tags;
    /// The search for candidates that met it last.
    std::uint64_t met_in_search = 0;
};

} // namespace figwinch
