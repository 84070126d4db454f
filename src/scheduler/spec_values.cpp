#include "scheduler/spec_values.h"

#include <algorithm>

namespace figwinch {

resources size_of(const pb::JobSpec& spec) {
    return {spec.size().cpu_millis(), spec.size().memory_mib(), spec.size().accelerators()};
}

bool allows(const pb::JobSpec& spec, const data_centre_id& centre) {
    return spec.data_centres().empty() ||
           std::ranges::find(spec.data_centres(), centre.str()) != spec.data_centres().end();
}

} // namespace figwinch
