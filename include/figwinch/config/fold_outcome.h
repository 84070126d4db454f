#pragma once

#include "figwinch/base.h"

#include <string>

namespace figwinch {

/// What became of one record of the `config` stream.
enum class fold_result {
    /// The change is the next version.
    accepted,
    /// The change is not in force and never will be.
    refused,
    /// A second append of a change that was judged before.
    duplicate,
    /// A snapshot: it repeats a state that is known already.
    snapshot,
    /// Not the next record.
    ignored,
};

/// The judgement on one record; the same in every process.
struct fold_outcome {
    fold_result result = fold_result::ignored;
    /// Why a change is refused; `ok` for every other result.
    result_code code = result_code::ok;
    std::string reason;
    record_id change;
    std::string author;
    std::string comment;
    /// The author's civil time, for people.
    wall_time written_at{};
    /// The version in force before the record.
    config_version from;
    /// The version that the change made, now or by an earlier append; none when it made none.
    config_version to;
    /// When refused for its base: the change that took that base, as far as it is remembered.
    record_id winner;
};

} // namespace figwinch
