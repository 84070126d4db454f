#pragma once

#include "config.pb.h"
#include "figwinch/config/manifest.h"
#include "figwinch/config/manifest_codec.h"
#include "figwinch/config/manifest_fault.h"

#include <string>
#include <vector>

namespace figwinch {

/// Collects faults while entries are read.
using fault_list = std::vector<manifest_fault>;

/// Reads entries one by one, in the order of the message, and reports values out of range under
/// `path` ("" or "put."). Names between entries are not checked: see `check_references`.
manifest read_entries(const pb::Manifest& message, const std::string& path, fault_list& faults);

/// Checks what only the whole manifest shows: duplicate and dangling names, jobs that fit no
/// worker.
void check_references(const manifest& config, fault_list& faults);

/// Sorts every kind of entry by name.
void sort_entries(manifest& config);

/// `read_entries`, `check_references` and `sort_entries` in one.
checked_manifest from_message(const pb::Manifest& message);
pb::Manifest to_message(const manifest& config);

/// Puts and removes entries. Faults: entries out of range, a removed name that is not there, and
/// whatever the resulting manifest fails by.
checked_manifest apply_change(const manifest& base, const pb::ManifestChange& change);

/// The change that turns `from` into `to`.
pb::ManifestChange change_between(const manifest& from, const manifest& to);

} // namespace figwinch
