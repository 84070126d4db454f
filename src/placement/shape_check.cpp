#include "figwinch/placement/shape_check.h"

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

struct dimension {
    const char* name;
    std::int64_t resources::*value;
};

constexpr dimension dimensions[] = {{"cpu_millis", &resources::cpu_millis},
                                    {"memory_mib", &resources::memory_mib},
                                    {"accelerators", &resources::accelerators}};

/// How far the task exceeds the capacity of the worker: the sum, over the resources that are short,
/// of the missing amount as a fraction of the request.
double excess(const resources& size, const resources& capacity) {
    double sum = 0;
    for (const dimension& one : dimensions) {
        const auto over = static_cast<double>(size.*one.value - capacity.*one.value);
        if (over > 0)
            sum += over / static_cast<double>(std::max<std::int64_t>(1, size.*one.value));
    }
    return sum;
}

std::string exceeded_limits(const resources& size, const resources& capacity) {
    std::string text;
    for (const dimension& one : dimensions) {
        if (size.*one.value <= capacity.*one.value)
            continue;
        text += text.empty() ? "" : ", ";
        text += one.name;
        text += " of " + std::to_string(size.*one.value);
        text += " exceeds " + std::to_string(capacity.*one.value);
    }
    return text;
}

} // namespace

std::optional<shape_refusal> check_shape(const manifest& config, const resources& size,
                                         const std::vector<data_centre_id>& allowed) {
    const worker_spec* nearest = nullptr;
    double least_excess = std::numeric_limits<double>::infinity();
    for (const worker_spec& worker : config.workers) {
        if (!allowed.empty() && std::ranges::find(allowed, worker.data_centre) == allowed.end())
            continue;
        if (fits(size, worker.capacity))
            return std::nullopt;
        const double over = excess(size, worker.capacity);
        if (over < least_excess) {
            least_excess = over;
            nearest = &worker;
        }
    }
    if (!nearest)
        return shape_refusal{
            "the manifest declares no worker in the data centres that may run the job", {}};
    std::string reason = exceeded_limits(size, nearest->capacity);
    reason += "; nearest worker shape: " + to_string(nearest->capacity);
    reason += " (" + nearest->name.str() + ")";
    return shape_refusal{std::move(reason), nearest->name};
}

} // namespace figwinch
