#include "standin_platform/standin_platform.h"

#include "log/http_log_client.h"
#include "log/log_page_codec.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace figwinch {
namespace {

using google::protobuf::Struct;
using google::protobuf::Value;

constexpr std::string_view log_prefix = "/v1/log/";
constexpr std::string_view log_suffix = "/records";
constexpr std::string_view control_prefix = "/control/";
constexpr std::size_t max_held = 4096;
constexpr std::uint64_t default_page_records = 1000;

http_response json(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

http_response page_response(int status, const log_page& page) {
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/octet-stream");
    response.body = encode_log_page(page);
    return response;
}

/// The stream of "/v1/log/{stream}/records"; empty for any other path.
std::string stream_of(std::string_view path) {
    if (!path.starts_with(log_prefix) || !path.ends_with(log_suffix) ||
        path.size() <= log_prefix.size() + log_suffix.size())
        return "";
    path.remove_prefix(log_prefix.size());
    path.remove_suffix(log_suffix.size());
    return std::string(path);
}

std::uint64_t query_number(std::string_view query, std::string_view key, std::uint64_t preset) {
    const std::string prefix = std::string(key) + "=";
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view part = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (!part.starts_with(prefix))
            continue;
        std::uint64_t value = preset;
        std::from_chars(part.data() + prefix.size(), part.data() + part.size(), value);
        return value;
    }
    return preset;
}

const Value* find(const Struct& body, const std::string& key) {
    const auto found = body.fields().find(key);
    return found == body.fields().end() ? nullptr : &found->second;
}

bool read_bool(const Struct& body, const std::string& key, bool& target) {
    const Value* value = find(body, key);
    if (value == nullptr || value->kind_case() != Value::kBoolValue)
        return false;
    target = value->bool_value();
    return true;
}

bool read_count(const Struct& body, const std::string& key, std::int64_t& target) {
    constexpr double most = 1e12;
    const Value* value = find(body, key);
    if (value == nullptr || value->kind_case() != Value::kNumberValue ||
        value->number_value() < 0 || value->number_value() > most)
        return false;
    target = static_cast<std::int64_t>(value->number_value());
    return true;
}

} // namespace

standin_platform::standin_platform(event_loop& loop, const clock& time)
    : loop_(loop), time_(time) {}

void standin_platform::handle(const http_request& request, const responder_ref& responder) {
    const std::string_view path = request.path;
    if (path.starts_with(control_prefix)) {
        control(request, responder);
        return;
    }
    if (is_cut(request)) {
        hold(responder);
        return;
    }
    if (path == "/v1/hosts")
        list_hosts(responder);
    else if (!stream_of(path).empty())
        handle_log(request, responder);
    else
        responder->respond(json(404, R"({"reason": "unknown path"})"));
}

bool standin_platform::is_cut(const http_request& request) const {
    const auto node = request.headers.find(node_header);
    return node.has_value() && faults_.cut_nodes.contains(std::string(*node));
}

void standin_platform::handle_log(const http_request& request, const responder_ref& responder) {
    if (faults_.log_silent) {
        hold(responder);
        return;
    }
    if (faults_.log_down) {
        ++refused_;
        answer(responder, json(503, R"({"reason": "log unavailable"})"));
        return;
    }
    const stream_name stream(stream_of(request.path));
    if (request.method == http_method::post)
        append(stream, request, responder);
    else
        read(stream, request, responder);
}

void standin_platform::append(const stream_name& stream, const http_request& request,
                              const responder_ref& responder) {
    const log_offset offset = log_.append(stream, request.body);
    if (faults_.lose_ack > 0) {
        --faults_.lose_ack;
        hold(responder);
        return;
    }
    answer(responder, json(200, "{\"offset\": " + std::to_string(offset.value()) + "}"));
}

void standin_platform::read(const stream_name& stream, const http_request& request,
                            const responder_ref& responder) {
    ++reads_;
    const log_offset from(query_number(request.query, "from", 1));
    const std::uint64_t most = query_number(request.query, "max", default_page_records);
    const log_page page = log_.read(stream, from, most);
    answer(responder, page_response(from < page.first_kept ? 410 : 200, page));
}

void standin_platform::list_hosts(const responder_ref& responder) {
    const instant now = time_.now();
    while (host_lists_.size() > 1 && host_lists_[1].visible_from <= now)
        host_lists_.pop_front();
    pb::HostList visible;
    if (!host_lists_.empty() && host_lists_.front().visible_from <= now)
        visible = host_lists_.front().hosts;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string body;
    if (!google::protobuf::util::MessageToJsonString(visible, &body, options).ok())
        body = "{}";
    responder->respond(json(200, std::move(body)));
}

void standin_platform::hold(const responder_ref& responder) {
    ++unanswered_;
    std::erase_if(held_, [](const responder_ref& held) { return !held->is_open(); });
    if (held_.size() >= max_held)
        held_.pop_front();
    held_.push_back(responder);
}

void standin_platform::answer(const responder_ref& responder, http_response response) {
    if (faults_.log_slow_ms == 0) {
        responder->respond(std::move(response));
        return;
    }
    const std::uint64_t id = next_delayed_++;
    delayed_[id] = loop_.after(std::chrono::milliseconds(faults_.log_slow_ms),
                               [this, id, responder, response = std::move(response)] {
                                   responder->respond(response);
                                   loop_.post([this, id] { delayed_.erase(id); });
                               });
}

void standin_platform::control(const http_request& request, const responder_ref& responder) {
    struct fault_row {
        std::string_view name;
        fault_setter set;
    };
    static constexpr std::array table = {
        fault_row{"hosts", &standin_platform::set_hosts},
        fault_row{"log_down", &standin_platform::set_log_down},
        fault_row{"log_silent", &standin_platform::set_log_silent},
        fault_row{"log_slow", &standin_platform::set_log_slow},
        fault_row{"lose_ack", &standin_platform::set_lose_ack},
        fault_row{"partition", &standin_platform::set_partition},
        fault_row{"retention", &standin_platform::set_retention},
    };
    const std::string_view name = std::string_view(request.path).substr(control_prefix.size());
    if (name == "state" && request.method == http_method::get) {
        responder->respond(state());
        return;
    }
    const auto row = std::ranges::find(table, name, &fault_row::name);
    Struct body;
    const bool known = row != table.end() && request.method == http_method::post;
    const bool good = known &&
                      google::protobuf::util::JsonStringToMessage(request.body, &body).ok() &&
                      (this->*(row->set))(body);
    if (!known)
        responder->respond(json(404, R"({"reason": "unknown fault"})"));
    else if (!good)
        responder->respond(json(400, R"({"reason": "see --help for the fields of each fault"})"));
    else
        responder->respond(state());
}

bool standin_platform::set_log_down(const Struct& body) {
    return read_bool(body, "down", faults_.log_down);
}

bool standin_platform::set_log_silent(const Struct& body) {
    return read_bool(body, "silent", faults_.log_silent);
}

bool standin_platform::set_log_slow(const Struct& body) {
    return read_count(body, "ms", faults_.log_slow_ms);
}

bool standin_platform::set_lose_ack(const Struct& body) {
    return read_count(body, "count", faults_.lose_ack);
}

bool standin_platform::set_retention(const Struct& body) {
    std::int64_t records = 0;
    if (!read_count(body, "records", records))
        return false;
    log_.keep(static_cast<std::size_t>(records));
    return true;
}

bool standin_platform::set_partition(const Struct& body) {
    const Value* nodes = find(body, "nodes");
    if (nodes == nullptr || nodes->kind_case() != Value::kListValue)
        return false;
    faults_.cut_nodes.clear();
    for (const Value& node : nodes->list_value().values())
        faults_.cut_nodes.insert(node.string_value());
    return true;
}

bool standin_platform::set_hosts(const Struct& body) {
    std::int64_t lag_ms = 0;
    const Value* hosts = find(body, "hosts");
    if (hosts == nullptr ||
        (find(body, "lag_ms") != nullptr && !read_count(body, "lag_ms", lag_ms)))
        return false;
    Struct list;
    (*list.mutable_fields())["hosts"] = *hosts;
    std::string text;
    host_list_version version;
    if (!google::protobuf::util::MessageToJsonString(list, &text).ok() ||
        !google::protobuf::util::JsonStringToMessage(text, &version.hosts).ok())
        return false;
    version.visible_from = time_.now() + std::chrono::milliseconds(lag_ms);
    host_lists_.push_back(std::move(version));
    return true;
}

http_response standin_platform::state() const {
    Struct document;
    auto& fields = *document.mutable_fields();
    fields["log_down"].set_bool_value(faults_.log_down);
    fields["log_silent"].set_bool_value(faults_.log_silent);
    fields["log_slow_ms"].set_number_value(static_cast<double>(faults_.log_slow_ms));
    fields["lose_ack"].set_number_value(static_cast<double>(faults_.lose_ack));
    fields["reads"].set_number_value(static_cast<double>(reads_));
    fields["refused"].set_number_value(static_cast<double>(refused_));
    fields["unanswered"].set_number_value(static_cast<double>(unanswered_));
    auto& appends = *fields["appends"].mutable_struct_value()->mutable_fields();
    for (const auto& [stream, count] : log_.appends())
        appends[stream.str()].set_number_value(static_cast<double>(count));
    auto& cut = *fields["cut_nodes"].mutable_list_value();
    for (const std::string& node : faults_.cut_nodes)
        cut.add_values()->set_string_value(node);
    std::string body;
    if (!google::protobuf::util::MessageToJsonString(document, &body).ok())
        body = "{}";
    return json(200, std::move(body));
}

} // namespace figwinch
