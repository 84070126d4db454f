#include "tools/experiment/results.h"

#include <rapidjson/ostreamwrapper.h>
#include <rapidjson/prettywriter.h>

namespace figwinch::experiment {
namespace {

using json_writer = rapidjson::PrettyWriter<rapidjson::OStreamWrapper>;

void write_key(json_writer& to, std::string_view key) {
    to.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
}

void write_text(json_writer& to, std::string_view key, std::string_view text) {
    write_key(to, key);
    to.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void write_number(json_writer& to, std::string_view key, double value) {
    write_key(to, key);
    to.Double(value);
}

void write_day(json_writer& to, const day_result& day) {
    to.StartObject();
    write_text(to, "setup", day.setup);
    write_key(to, "seed");
    to.Uint64(day.seed);
    write_key(to, "classes");
    to.StartArray();
    for (const class_result& of_class : day.classes) {
        to.StartObject();
        write_text(to, "class", of_class.name);
        for (const metric& column : metrics())
            if (const auto value = column.of(of_class))
                write_number(to, column.name, *value);
        to.EndObject();
    }
    to.EndArray();
    to.EndObject();
}

void write_comparison(json_writer& to, const comparison& row) {
    to.StartObject();
    write_text(to, "class", row.of_class);
    write_text(to, "metric", row.metric);
    write_key(to, "pairs");
    to.Uint64(row.difference.pairs);
    write_number(to, "mean", row.difference.mean);
    write_number(to, "median", row.difference.median);
    write_number(to, "spread", row.difference.spread);
    write_number(to, "standard_error", row.difference.standard_error);
    write_number(to, "least", row.difference.least);
    write_number(to, "most", row.difference.most);
    to.EndObject();
}

} // namespace

void write_json(std::ostream& out, const results& found) {
    rapidjson::OStreamWrapper stream(out);
    json_writer to(stream);
    to.StartObject();
    write_key(to, "days");
    to.StartArray();
    for (const std::vector<day_result>& days : found.days)
        for (const day_result& day : days)
            write_day(to, day);
    to.EndArray();
    write_key(to, "compared");
    to.StartArray();
    for (const comparison& row : found.compared)
        write_comparison(to, row);
    to.EndArray();
    to.EndObject();
    out << '\n';
}

} // namespace figwinch::experiment
