#pragma once

#include "cell_host/cell_member.h"

#include <string>

namespace figwinch {

/// Returns a host's status for operators, on the coordinator with its workers and open jobs:
/// `CellView` of proto/cell.proto as JSON.
std::string encode_status(const std::string& node, const cell_member& member);

} // namespace figwinch
