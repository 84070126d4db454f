#include "tools/standin_executor/json_text.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

namespace figwinch::standin {

struct json_text::holder {
    google::protobuf::Struct object;
};

json_text::json_text() : value_(std::make_unique<holder>()) {}

json_text::~json_text() = default;

bool json_text::parse(std::string_view text) {
    if (text.empty())
        return true;
    const std::string copy(text);
    return google::protobuf::util::JsonStringToMessage(copy, &value_->object).ok();
}

std::optional<double> json_text::number(const std::string& key) const {
    const auto field = value_->object.fields().find(key);
    if (field == value_->object.fields().end() || !field->second.has_number_value())
        return std::nullopt;
    return field->second.number_value();
}

std::optional<bool> json_text::flag(const std::string& key) const {
    const auto field = value_->object.fields().find(key);
    if (field == value_->object.fields().end() || !field->second.has_bool_value())
        return std::nullopt;
    return field->second.bool_value();
}

void json_text::set(const std::string& key, const std::string& value) {
    (*value_->object.mutable_fields())[key].set_string_value(value);
}

void json_text::set(const std::string& key, double value) {
    (*value_->object.mutable_fields())[key].set_number_value(value);
}

void json_text::set(const std::string& key, const json_text& value) {
    *(*value_->object.mutable_fields())[key].mutable_struct_value() = value.value_->object;
}

std::string json_text::str() const {
    std::string text;
    // Fails only for text that is not UTF-8; an empty body shows it.
    if (!google::protobuf::util::MessageToJsonString(value_->object, &text).ok())
        return {};
    return text;
}

} // namespace figwinch::standin
