#include "config/manifest_message.h"

#include <algorithm>
#include <string_view>

namespace figwinch {
namespace {

template <class Spec>
void put_entries(std::vector<Spec>& entries, std::vector<Spec> put, std::string_view kind,
                 fault_list& faults) {
    std::ranges::stable_sort(put, {}, &Spec::name);
    const auto twice = std::ranges::adjacent_find(put, {}, &Spec::name);
    if (twice != put.end())
        faults.push_back({result_code::manifest_duplicate_name, "put." + std::string(kind),
                          "\"" + twice->name.str() + "\" is put twice"});
    std::vector<Spec> merged;
    merged.reserve(entries.size() + put.size());
    auto next = put.begin();
    for (Spec& entry : entries) {
        for (; next != put.end() && next->name < entry.name; ++next)
            merged.push_back(std::move(*next));
        const bool replaced = next != put.end() && next->name == entry.name;
        merged.push_back(replaced ? std::move(*next++) : std::move(entry));
    }
    std::move(next, put.end(), std::back_inserter(merged));
    entries = std::move(merged);
}

template <class Spec, class Names>
void remove_entries(std::vector<Spec>& entries, const Names& names, std::string_view kind,
                    fault_list& faults) {
    for (const std::string& name : names) {
        const auto found =
            std::ranges::lower_bound(entries, std::string_view(name), {}, [](const Spec& entry) {
                return std::string_view(entry.name.str());
            });
        if (found == entries.end() || found->name.str() != name) {
            faults.push_back({result_code::manifest_dangling_name, "remove_" + std::string(kind),
                              "\"" + name + "\" is not declared"});
            continue;
        }
        entries.erase(found);
    }
}

} // namespace

checked_manifest apply_change(const manifest& base, const pb::ManifestChange& change) {
    checked_manifest result;
    fault_list& faults = result.faults;
    manifest next = base;
    remove_entries(next.data_centres, change.remove_data_centres(), "data_centres", faults);
    remove_entries(next.workers, change.remove_workers(), "workers", faults);
    remove_entries(next.executors, change.remove_executors(), "executors", faults);
    remove_entries(next.services, change.remove_services(), "services", faults);
    remove_entries(next.customers, change.remove_customers(), "customers", faults);
    remove_entries(next.jobs, change.remove_jobs(), "jobs", faults);
    manifest put = read_entries(change.put(), "put.", faults);
    put_entries(next.data_centres, std::move(put.data_centres), "data_centres", faults);
    put_entries(next.workers, std::move(put.workers), "workers", faults);
    put_entries(next.executors, std::move(put.executors), "executors", faults);
    put_entries(next.services, std::move(put.services), "services", faults);
    put_entries(next.customers, std::move(put.customers), "customers", faults);
    put_entries(next.jobs, std::move(put.jobs), "jobs", faults);
    check_references(next, faults);
    if (faults.empty())
        result.value = std::move(next);
    return result;
}

} // namespace figwinch
