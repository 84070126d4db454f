#include "figwinch/config/manifest_codec.h"

#include "config/json_schema_check.h"
#include "config/manifest_message.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace figwinch {
namespace {

checked_manifest malformed(std::string reason) {
    checked_manifest result;
    result.faults.push_back({result_code::manifest_malformed, "$", std::move(reason)});
    return result;
}

std::string first_line(const google::protobuf::util::Status& status) {
    const std::string text(status.message().data(), status.message().size());
    return text.substr(0, text.find('\n'));
}

void sort_faults(std::vector<manifest_fault>& faults) {
    std::ranges::stable_sort(faults, {}, &manifest_fault::path);
}

} // namespace

std::string to_string(const manifest_fault& fault) {
    const result_info& row = info(fault.code);
    return std::to_string(number(fault.code)) + " " + std::string(row.name) + " at " + fault.path +
           ": " + fault.reason;
}

checked_manifest parse_manifest(std::string_view json) {
    const google::protobuf::StringPiece text(json.data(), json.size());
    google::protobuf::Struct document;
    const auto parsed = google::protobuf::util::JsonStringToMessage(text, &document);
    if (!parsed.ok())
        return malformed(first_line(parsed));

    checked_manifest result;
    check_json_schema(document, *pb::Manifest::descriptor(), "", result.faults);
    if (!result.faults.empty()) {
        sort_faults(result.faults);
        return result;
    }
    pb::Manifest message;
    const auto converted = google::protobuf::util::JsonStringToMessage(text, &message);
    if (!converted.ok())
        return malformed(first_line(converted));
    result = from_message(message);
    sort_faults(result.faults);
    return result;
}

std::string to_json(const manifest& config) {
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status =
        google::protobuf::util::MessageToJsonString(to_message(config), &text, options);
    return status.ok() ? text : std::string();
}

} // namespace figwinch
