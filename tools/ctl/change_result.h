#pragma once

#include "figwinch/base.h"

#include <string>

namespace figwinch {

enum class change_end {
    /// In force as `version`.
    accepted,
    /// The configuration in force is the wanted one already.
    unchanged,
    /// Not in force and never will be; `code` and `reason` say why.
    refused,
    /// The log could not be used; nothing was published.
    not_published,
    /// The log went silent: the change may come into force.
    unknown,
};

/// What became of a change request.
struct change_result {
    change_end end = change_end::not_published;
    result_code code = result_code::ok;
    std::string reason{};
    config_version version{};
    record_id record{};
    /// When another change came first.
    record_id winner{};
    std::string winner_author{};
    std::string winner_comment{};
    /// Bytes of the record that was appended.
    std::size_t bytes = 0;
};

} // namespace figwinch
