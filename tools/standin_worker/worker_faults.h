#pragma once

#include "figwinch/base.h"

#include <set>
#include <string>

namespace figwinch::standin {

/// The faults that are in force at one stand-in worker.
struct worker_faults {
    /// Commands left that are carried out and never answered.
    int lose_replies = 0;
    /// Commands that arrive before this wait until then.
    instant frozen_until{};
    /// Holders whose commands neither arrive nor are answered.
    std::set<std::string> cut_holders;
};

} // namespace figwinch::standin
