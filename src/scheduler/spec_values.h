#pragma once

#include "figwinch/base.h"
#include "jobs.pb.h"

namespace figwinch {

/// Declared size of one task.
resources size_of(const pb::JobSpec& spec);
/// Whether the job may run in the data centre, by its own list.
bool allows(const pb::JobSpec& spec, const data_centre_id& centre);

} // namespace figwinch
