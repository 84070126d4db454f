#include "figwinch/config/manifest.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

constexpr std::array<std::string_view, 4> class_names = {"urgent", "normal", "bulk", "service"};

template <class Spec, class Name>
const Spec* find_sorted(const std::vector<Spec>& entries, const Name& name) {
    const auto found = std::ranges::lower_bound(entries, name, {}, &Spec::name);
    if (found == entries.end() || found->name != name)
        return nullptr;
    return &*found;
}

} // namespace

std::optional<work_class> parse_work_class(std::string_view text) {
    const auto found = std::ranges::find(class_names, text);
    if (found == class_names.end())
        return std::nullopt;
    return static_cast<work_class>(found - class_names.begin());
}

std::string_view to_string(work_class value) {
    return class_names.at(static_cast<std::size_t>(value));
}

const data_centre_spec* find(const manifest& config, const data_centre_id& name) {
    return find_sorted(config.data_centres, name);
}

const worker_spec* find(const manifest& config, const worker_id& name) {
    return find_sorted(config.workers, name);
}

const executor_spec* find(const manifest& config, const executor_id& name) {
    return find_sorted(config.executors, name);
}

const service_spec* find(const manifest& config, const service_id& name) {
    return find_sorted(config.services, name);
}

const customer_spec* find(const manifest& config, const customer_id& name) {
    return find_sorted(config.customers, name);
}

const job_spec* find(const manifest& config, const job_id& name) {
    return find_sorted(config.jobs, name);
}

} // namespace figwinch
