#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace figwinch {

struct job_state;

/// Whether a job can still finish by its objective.
enum class job_prospect {
    in_time,
    /// The job can finish only after its objective, but is still useful then.
    late,
    lost,
};

/// Scheduling order of jobs: by priority, then by prospect, then by the remaining work, least
/// first. Under overload, first-come first-served would make all jobs late, and
/// earliest-deadline-first would spend most capacity on jobs that narrowly miss their deadline.
struct service_order {
    std::uint32_t priority = 0;
    job_prospect prospect = job_prospect::in_time;
    /// In core-seconds.
    double work_left = 0;
    std::uint64_t intake_offset = 0;
    std::string_view id;

    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const service_order&, const service_order&) = default;
};

/// Order of jobs by the time since which they have waited without a start; those whose prospect is
/// not lost come first.
struct wait_order {
    bool lost = false;
    instant waiting_since{};
    std::string_view id;

    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const wait_order&, const wait_order&) = default;
};

/// Order of jobs by the time at which something is due for them.
struct due_order {
    instant at{};
    std::uint32_t priority = 0;
    std::string_view id;

    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const due_order&, const due_order&) = default;
};

/// Positions of a job in the queues of `waiting_jobs`; nothing where it isn't in a queue.
struct queue_positions {
    std::optional<service_order> batch;
    std::optional<service_order> services;
    std::optional<wait_order> waits;
    std::optional<due_order> idle;
    std::optional<due_order> estimate;

    friend bool operator==(const queue_positions&, const queue_positions&) = default;
};

/// Queues of the open jobs, so that the work of a placement round doesn't grow with the jobs that
/// wait. A job keeps its positions until `move` is called for it. Owned by the coordinator.
class waiting_jobs {
public:
    template <class Order>
    using queue = std::map<Order, job_state*>;

    /// Takes a job out of all queues and puts it where `wanted` says.
    void move(job_state& job, const queue_positions& wanted);

    /// Jobs with batch tasks, or service tasks, of ready steps that have no run.
    const queue<service_order>& batch() const { return batch_; }
    const queue<service_order>& services() const { return services_; }
    /// The jobs of `batch`, the one that has waited for longest first.
    const queue<wait_order>& by_wait() const { return by_wait_; }
    /// Best-effort jobs without any run but throttled starts, by the time at which they are
    /// overdue.
    const queue<due_order>& idle() const { return idle_; }
    /// Jobs by the time at which their prospect may change.
    const queue<due_order>& estimates() const { return estimates_; }

private:
    queue<service_order> batch_;
    queue<service_order> services_;
    queue<wait_order> by_wait_;
    queue<due_order> idle_;
    queue<due_order> estimates_;
};

} // namespace figwinch
