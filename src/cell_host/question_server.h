#pragma once

#include "cell_host/job_source.h"

#include <functional>
#include <string>
#include <string_view>

namespace figwinch {

/// Answers other hosts' job queries from this host's read replica. Owned by `cell_member`.
class question_server {
public:
    /// `reads`: whether this host has a complete replica. `time` and `jobs` must outlive this
    /// object.
    question_server(const clock& time, job_source& jobs, std::function<bool()> reads)
        : time_(time), jobs_(jobs), reads_(std::move(reads)) {}

    void handle(std::string_view body, const std::function<void(std::string)>& reply);
    std::uint64_t answered() const { return answered_; }

private:
    const clock& time_;
    job_source& jobs_;
    std::function<bool()> reads_;
    std::uint64_t answered_ = 0;
};

} // namespace figwinch
