#pragma once

#include "cell_host/job_lookup.h"

#include <functional>
#include <string>
#include <string_view>

namespace figwinch {

/// Answers other hosts' job queries from this host's read replica. Owned by `cell_member`.
class job_query_server {
public:
    /// `has_replica`: whether this host has a complete replica. `time` and `jobs` must outlive this
    /// object.
    job_query_server(const clock& time, job_lookup& jobs, std::function<bool()> has_replica)
        : time_(time), jobs_(jobs), has_replica_(std::move(has_replica)) {}

    void handle(std::string_view body, const std::function<void(std::string)>& reply);
    std::uint64_t answered() const { return answered_; }

private:
    const clock& time_;
    job_lookup& jobs_;
    std::function<bool()> has_replica_;
    std::uint64_t answered_ = 0;
};

} // namespace figwinch
