#pragma once

#include "cell_host/shared_writer.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Records that a host hands to the cell's writer; without any it asks whether the writer is there.
struct handover {
    /// How long the callers wait.
    duration patience{};
    std::vector<stored_record> records;
};

std::string encode_handover(const handover& handed);
/// Nothing on bytes that aren't one.
std::optional<handover> decode_handover(std::string_view bytes);

std::string encode_handover_result(const handover_result& result);
/// `unknown` on bytes that aren't one.
handover_result decode_handover_result(std::string_view bytes);
/// The answer to a host that asks whether the writer is there.
std::string encode_presence();

} // namespace figwinch
