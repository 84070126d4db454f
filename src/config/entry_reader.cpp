#include "config/entry_reader.h"

#include "config/manifest_limits.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace figwinch {
namespace {

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == ':';
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, is_name_character);
}

bool is_port(std::string_view text) {
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= 1 &&
           value <= 65'535;
}

bool is_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed{};
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) == 1 &&
           is_port(std::string_view(text).substr(colon + 1));
}

} // namespace

entry_reader::entry_reader(std::string_view kind, int index, std::vector<manifest_fault>& faults)
    : kind_(kind), index_(index), faults_(faults) {}

void entry_reader::fault(std::string_view field, std::string reason) {
    const std::string path = kind_ + "[" + std::to_string(index_) + "]." + std::string(field);
    faults_.push_back({result_code::manifest_out_of_range, path, std::move(reason)});
}

std::string entry_reader::name(std::string_view field, const std::string& value) {
    if (!is_name(value))
        fault(field, "\"" + value.substr(0, max_name_length) +
                         "\" is not a name: 1 to 128 of A-Z a-z 0-9 - _ . :");
    return value;
}

std::string entry_reader::optional_name(std::string_view field, const std::string& value) {
    return value.empty() ? value : name(field, value);
}

std::string entry_reader::address(std::string_view field, const std::string& value) {
    if (!is_address(value))
        fault(field, "\"" + value.substr(0, max_name_length) +
                         "\" is not an IP number and port like 10.0.0.1:7000");
    return value;
}

std::int64_t entry_reader::number(std::string_view field, std::int64_t value, std::int64_t low,
                                  std::int64_t high, std::string_view unit) {
    if (value >= low && value <= high)
        return value;
    fault(field, std::to_string(value) + " is not within " + std::to_string(low) + " to " +
                     std::to_string(high) + " " + std::string(unit));
    return low;
}

std::int64_t entry_reader::number_or(std::string_view field, std::int64_t value,
                                     std::int64_t preset, std::int64_t high,
                                     std::string_view unit) {
    return value == 0 ? preset : number(field, value, 1, high, unit);
}

resources entry_reader::size(std::string_view field, const pb::ManifestSize& value) {
    constexpr std::int64_t least = 1;
    const std::string prefix = std::string(field) + ".";
    resources result;
    result.cpu_millis = number(prefix + "cpu_millis", value.cpu_millis(), least, max_cpu_millis,
                               "thousandths of a core");
    result.memory_mib =
        number(prefix + "memory_mib", value.memory_mib(), least, max_memory_mib, "MiB");
    result.accelerators =
        number(prefix + "accelerators", value.accelerators(), 0, max_accelerators, "devices");
    return result;
}

std::optional<resources> entry_reader::quota(std::string_view field,
                                             const pb::ManifestSize& value) {
    const resources result{value.cpu_millis(), value.memory_mib(), value.accelerators()};
    if (result == resources{})
        return std::nullopt;
    const std::string prefix = std::string(field) + ".";
    number(prefix + "cpu_millis", result.cpu_millis, 1, max_cpu_millis * max_quota_hosts,
           "thousandths of a core");
    number(prefix + "memory_mib", result.memory_mib, 1, max_memory_mib * max_quota_hosts, "MiB");
    number(prefix + "accelerators", result.accelerators, 0, max_accelerators * max_quota_hosts,
           "devices");
    return result;
}

work_class entry_reader::request_class(std::string_view field, const std::string& value) {
    const std::optional<work_class> parsed = parse_work_class(value);
    if (parsed.has_value() && *parsed != work_class::service)
        return *parsed;
    fault(field, "\"" + value.substr(0, max_name_length) + "\" is not urgent, normal or bulk");
    return work_class::normal;
}

work_class entry_reader::job_class(std::string_view field, const std::string& value) {
    const std::optional<work_class> parsed = parse_work_class(value);
    if (parsed.has_value())
        return *parsed;
    fault(field,
          "\"" + value.substr(0, max_name_length) + "\" is not urgent, normal, bulk or service");
    return work_class::normal;
}

} // namespace figwinch
