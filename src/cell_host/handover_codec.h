#pragma once

#include "cell_host/shared_writer.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Records that a host hands over to the cell's shared writer for appending. Without records it is
/// a probe, which only checks whether the writer responds.
struct handover {
    /// Time left until the latest deadline of the records' callers.
    duration timeout{};
    std::vector<stored_record> records;
};

std::string encode_handover(const handover& handed);
/// Returns nullopt if the bytes are malformed.
std::optional<handover> decode_handover(std::string_view bytes);

std::string encode_handover_result(const handover_result& result);
/// The outcome is `unknown` if the bytes are malformed.
handover_result decode_handover_result(std::string_view bytes);
/// Encodes the reply to a probe.
std::string encode_probe_reply();

} // namespace figwinch
