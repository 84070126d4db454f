#include "config/json_schema_check.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <string_view>

namespace figwinch {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Struct;
using google::protobuf::Value;

/// Numbers of the JSON form are exact up to here.
constexpr double max_exact = 9007199254740992.0;

const FieldDescriptor* find_field(const Descriptor& schema, const std::string& name) {
    const FieldDescriptor* by_name = schema.FindFieldByName(name);
    return by_name != nullptr ? by_name : schema.FindFieldByCamelcaseName(name);
}

std::string known_fields(const Descriptor& schema) {
    std::string result;
    for (int i = 0; i < schema.field_count(); ++i)
        result += (i == 0 ? "" : ", ") + schema.field(i)->name();
    return result;
}

std::string_view unit_of(const std::string& field) {
    const std::string_view name = field;
    if (name.ends_with("_ms"))
        return " of milliseconds";
    if (name.ends_with("_mib"))
        return " of MiB";
    if (name.ends_with("_millis"))
        return " of thousandths of a core";
    return "";
}

bool is_integer_text(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

bool is_integer(const Value& value) {
    if (value.kind_case() == Value::kStringValue)
        return is_integer_text(value.string_value());
    return value.kind_case() == Value::kNumberValue &&
           std::floor(value.number_value()) == value.number_value() &&
           std::abs(value.number_value()) <= max_exact;
}

bool fits_int32(const Value& value) {
    const double number = value.kind_case() == Value::kStringValue
                              ? std::strtod(value.string_value().c_str(), nullptr)
                              : value.number_value();
    return std::abs(number) <= 2147483647.0;
}

std::string describe(const Value& value) {
    switch (value.kind_case()) {
    case Value::kStringValue:
        return "\"" + value.string_value().substr(0, 64) + "\"";
    case Value::kNumberValue:
        return std::to_string(value.number_value());
    case Value::kBoolValue:
        return value.bool_value() ? "true" : "false";
    case Value::kStructValue:
        return "an object";
    case Value::kListValue:
        return "a list";
    default:
        return "null";
    }
}

/// What `field` expects when `value` is not of its type; empty when it is.
std::string expectation(const FieldDescriptor& field, const Value& value) {
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return value.kind_case() == Value::kStructValue ? "" : "an object";
    case FieldDescriptor::CPPTYPE_STRING:
        return value.kind_case() == Value::kStringValue ? "" : "a string";
    case FieldDescriptor::CPPTYPE_BOOL:
        return value.kind_case() == Value::kBoolValue ? "" : "true or false";
    case FieldDescriptor::CPPTYPE_INT32:
        if (is_integer(value) && !fits_int32(value))
            return "a number below 2147483648";
        [[fallthrough]];
    default:
        return is_integer(value)
                   ? ""
                   : "a whole number" + std::string(unit_of(field.name())) + " without a unit";
    }
}

void check_value(const FieldDescriptor& field, const Value& value, const std::string& path,
                 std::vector<manifest_fault>& faults) {
    const std::string expected = expectation(field, value);
    if (!expected.empty()) {
        faults.push_back({result_code::manifest_out_of_range, path,
                          "found " + describe(value) + ", expected " + expected});
        return;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
        check_json_schema(value.struct_value(), *field.message_type(), path, faults);
}

void check_list(const FieldDescriptor& field, const Value& value, const std::string& path,
                std::vector<manifest_fault>& faults) {
    if (value.kind_case() != Value::kListValue) {
        faults.push_back({result_code::manifest_out_of_range, path,
                          "found " + describe(value) + ", expected a list"});
        return;
    }
    for (int i = 0; i < value.list_value().values_size(); ++i)
        check_value(field, value.list_value().values(i), path + "[" + std::to_string(i) + "]",
                    faults);
}

} // namespace

void check_json_schema(const Struct& json, const Descriptor& schema, const std::string& path,
                       std::vector<manifest_fault>& faults) {
    std::set<const FieldDescriptor*> seen;
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const auto& [name, value] : json.fields()) {
        const std::string field_path = prefix + name;
        const FieldDescriptor* field = find_field(schema, name);
        if (field == nullptr) {
            faults.push_back({result_code::manifest_unknown_field, field_path,
                              "unknown field; known here: " + known_fields(schema)});
            continue;
        }
        if (!seen.insert(field).second)
            faults.push_back({result_code::manifest_malformed, field_path,
                              "the field stands twice, in two spellings"});
        if (field->is_repeated())
            check_list(*field, value, field_path, faults);
        else
            check_value(*field, value, field_path, faults);
    }
}

} // namespace figwinch
