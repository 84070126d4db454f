#pragma once

#include "figwinch/base.h"
#include "worker.pb.h"

#include <cstdint>

namespace figwinch {

/// A command to be sent at once. Its answer, or that none came, is reported under `token`.
struct worker_command {
    worker_id worker;
    std::uint64_t token = 0;
    pb::WorkerCommand body;
};

} // namespace figwinch
