#pragma once

#include "config.pb.h"
#include "figwinch/config/manifest.h"
#include "figwinch/config/manifest_fault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Reads the fields of one entry of a manifest and notes values out of range under their path.
/// Lives for one entry; on a fault each reader returns a value that is safe to go on with.
class entry_reader {
public:
    entry_reader(std::string_view kind, int index, std::vector<manifest_fault>& faults);

    std::string name(std::string_view field, const std::string& value);
    std::string optional_name(std::string_view field, const std::string& value);
    std::string address(std::string_view field, const std::string& value);
    std::int64_t number(std::string_view field, std::int64_t value, std::int64_t low,
                        std::int64_t high, std::string_view unit);
    /// As `number` from 1 to `high`; 0 stands for `preset`.
    std::int64_t number_or(std::string_view field, std::int64_t value, std::int64_t preset,
                           std::int64_t high, std::string_view unit);
    resources size(std::string_view field, const pb::ManifestSize& value);
    /// Empty when all three are zero.
    std::optional<resources> quota(std::string_view field, const pb::ManifestSize& value);
    work_class request_class(std::string_view field, const std::string& value);
    work_class job_class(std::string_view field, const std::string& value);

    void fault(std::string_view field, std::string reason);

private:
    std::string kind_;
    int index_;
    std::vector<manifest_fault>& faults_;
};

} // namespace figwinch
