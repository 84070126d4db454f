#include "ctl/ctl_report.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <ctime>
#include <sstream>

namespace figwinch {
namespace {

using google::protobuf::Struct;

std::string json_of(const google::protobuf::Message& message) {
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(message, &text, options).ok())
        return "{}\n";
    return text + "\n";
}

void set(Struct& document, const std::string& key, const std::string& value) {
    (*document.mutable_fields())[key].set_string_value(value);
}

void set(Struct& document, const std::string& key, std::uint64_t value) {
    (*document.mutable_fields())[key].set_number_value(static_cast<double>(value));
}

std::string_view end_name(change_end end) {
    switch (end) {
    case change_end::accepted:
        return "accepted";
    case change_end::unchanged:
        return "unchanged";
    case change_end::refused:
        return "refused";
    case change_end::not_published:
        return "not_published";
    case change_end::unknown:
        break;
    }
    return "unknown";
}

exit_code exit_of(const change_result& result) {
    switch (result.end) {
    case change_end::accepted:
    case change_end::unchanged:
        return exit_code::done;
    case change_end::refused:
        return result.code == result_code::manifest_stale_base ? exit_code::lost_race
                                                               : exit_code::invalid;
    case change_end::not_published:
        return exit_code::unavailable;
    case change_end::unknown:
        break;
    }
    return exit_code::unknown;
}

std::string utc(std::int64_t wall_ms) {
    const std::time_t seconds = wall_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::string text(sizeof "2026-01-01T00:00:00Z", '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
    return text;
}

std::string change_text(const change_result& result) {
    std::ostringstream out;
    out << end_name(result.end);
    if (!result.version.is_none())
        out << ": version " << result.version << " is in force";
    if (!result.reason.empty())
        out << "\n"
            << number(result.code) << " " << info(result.code).name << ": " << result.reason;
    if (!result.winner.empty())
        out << "\nfirst came " << result.winner << " by \"" << result.winner_author << "\" ("
            << result.winner_comment << ")";
    if (result.end == change_end::unknown)
        out << "\nlook for record " << result.record << " in `figwinchctl history`";
    out << "\n";
    return out.str();
}

void list_kind(std::ostringstream& out, std::string_view kind, const std::vector<std::string>& put,
               const google::protobuf::RepeatedPtrField<std::string>& removed) {
    for (const std::string& name : put)
        out << "put " << kind << " " << name << "\n";
    for (const std::string& name : removed)
        out << "remove " << kind << " " << name << "\n";
}

template <class Messages>
std::vector<std::string> names_of(const Messages& messages) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(messages.size()));
    for (const auto& message : messages)
        names.push_back(message.name());
    return names;
}

std::string difference_text(const pb::ManifestChange& change) {
    std::ostringstream out;
    const pb::Manifest& put = change.put();
    list_kind(out, "data centre", names_of(put.data_centres()), change.remove_data_centres());
    list_kind(out, "worker", names_of(put.workers()), change.remove_workers());
    list_kind(out, "executor", names_of(put.executors()), change.remove_executors());
    list_kind(out, "service", names_of(put.services()), change.remove_services());
    list_kind(out, "customer", names_of(put.customers()), change.remove_customers());
    list_kind(out, "job", names_of(put.jobs()), change.remove_jobs());
    return out.str();
}

std::string history_text(const std::vector<pb::AuditRecord>& records) {
    std::ostringstream out;
    for (const pb::AuditRecord& record : records) {
        out << utc(record.wall_ms()) << " " << record.change_record_id() << " by \""
            << record.author() << "\" (" << record.comment() << "): ";
        if (record.to_version() != 0)
            out << "version " << record.to_version();
        else
            out << "refused, " << record.code() << " " << record.reason();
        out << "\n";
    }
    return out.str();
}

} // namespace

ctl_report report_faults(const std::vector<manifest_fault>& faults, report_form form) {
    ctl_report report;
    report.exit = faults.empty() ? exit_code::done : exit_code::invalid;
    if (form == report_form::text) {
        for (const manifest_fault& fault : faults)
            report.output += to_string(fault) + "\n";
        if (faults.empty())
            report.output = "valid\n";
        return report;
    }
    Struct document;
    auto& list = *(*document.mutable_fields())["faults"].mutable_list_value();
    for (const manifest_fault& fault : faults) {
        Struct& entry = *list.add_values()->mutable_struct_value();
        set(entry, "code", static_cast<std::uint64_t>(number(fault.code)));
        set(entry, "name", std::string(info(fault.code).name));
        set(entry, "path", fault.path);
        set(entry, "reason", fault.reason);
    }
    report.output = json_of(document);
    return report;
}

ctl_report report_change(const change_result& result, report_form form) {
    ctl_report report;
    report.exit = exit_of(result);
    if (form == report_form::text) {
        report.output = change_text(result);
        return report;
    }
    Struct document;
    set(document, "result", std::string(end_name(result.end)));
    set(document, "code", static_cast<std::uint64_t>(number(result.code)));
    set(document, "reason", result.reason);
    set(document, "version", result.version.value());
    set(document, "record_id", result.record.str());
    set(document, "winner_record_id", result.winner.str());
    set(document, "winner_author", result.winner_author);
    report.output = json_of(document);
    return report;
}

ctl_report report_state(const manifest& config, config_version version, report_form form) {
    ctl_report report;
    if (form == report_form::json) {
        Struct document;
        set(document, "version", version.value());
        Struct& whole = *(*document.mutable_fields())["manifest"].mutable_struct_value();
        if (!google::protobuf::util::JsonStringToMessage(to_json(config), &whole).ok())
            whole.Clear();
        report.output = json_of(document);
        return report;
    }
    std::ostringstream out;
    out << "version " << version << "\n";
    for (const data_centre_spec& each : config.data_centres) {
        const auto is_here = [&](const auto& entry) { return entry.data_centre == each.name; };
        out << "data centre " << each.name << ": " << (each.in_service ? "in" : "out") << ", "
            << std::ranges::count_if(config.workers, is_here) << " workers, "
            << std::ranges::count_if(config.executors, is_here) << " executors\n";
    }
    out << config.services.size() << " services, " << config.customers.size() << " customers, "
        << config.jobs.size() << " jobs\n";
    report.output = out.str();
    return report;
}

ctl_report report_difference(const pb::ManifestChange& change, report_form form) {
    ctl_report report;
    const std::string text = difference_text(change);
    report.exit = text.empty() ? exit_code::done : exit_code::differs;
    report.output = form == report_form::json ? json_of(change) : text;
    return report;
}

ctl_report report_history(const std::vector<pb::AuditRecord>& records, report_form form) {
    ctl_report report;
    if (form == report_form::text) {
        report.output = history_text(records);
        return report;
    }
    for (const pb::AuditRecord& record : records)
        report.output += json_of(record);
    return report;
}

ctl_report report_unavailable(const std::string& reason, report_form form) {
    ctl_report report;
    report.exit = exit_code::unavailable;
    if (form == report_form::text) {
        report.output = "the log can't be read: " + reason + "\n";
        return report;
    }
    Struct document;
    set(document, "result", std::string("unavailable"));
    set(document, "reason", reason);
    report.output = json_of(document);
    return report;
}

} // namespace figwinch
