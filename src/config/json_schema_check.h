#pragma once

#include "figwinch/config/manifest_fault.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/struct.pb.h>

#include <string>
#include <vector>

namespace figwinch {

/// Reports every field of `json` that message `schema` does not know, and every value of another
/// type than the schema's. protobuf's own JSON reader stops at the first and gives no path.
void check_json_schema(const google::protobuf::Struct& json,
                       const google::protobuf::Descriptor& schema, const std::string& path,
                       std::vector<manifest_fault>& faults);

} // namespace figwinch
