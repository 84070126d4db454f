#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// How loaded a service is on one host, as its rate of requests over the highest seen there.
class request_rate {
public:
    void add(std::int64_t requests, instant now);
    /// 0 to 1.
    double load() const;

private:
    double recent_ = 0;
    double highest_ = 0;
    instant last_{};
};

} // namespace figwinch
