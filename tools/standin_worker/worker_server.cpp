#include "tools/standin_worker/worker_server.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

namespace figwinch::standin {
namespace {

using google::protobuf::Struct;
using google::protobuf::Value;

constexpr std::size_t max_withheld = 1000;
constexpr std::string_view control_path = "/control/";

double number_in(const Struct& fields, const std::string& name) {
    const auto place = fields.fields().find(name);
    return place == fields.fields().end() ? 0 : place->second.number_value();
}

bool flag_in(const Struct& fields, const std::string& name) {
    const auto place = fields.fields().find(name);
    return place != fields.fields().end() && place->second.bool_value();
}

Value number_value(double value) {
    Value out;
    out.set_number_value(value);
    return out;
}

Struct to_struct(const resources& size) {
    Struct out;
    auto& fields = *out.mutable_fields();
    fields["cpu_millis"] = number_value(static_cast<double>(size.cpu_millis));
    fields["memory_mib"] = number_value(static_cast<double>(size.memory_mib));
    fields["accelerators"] = number_value(static_cast<double>(size.accelerators));
    return out;
}

Struct to_struct(const task_history& history) {
    Struct out;
    auto& fields = *out.mutable_fields();
    fields["starts"] = number_value(history.starts);
    fields["work_ms"] = number_value(history.work_ms);
    auto& attempts = *fields["attempts"].mutable_list_value();
    for (const std::uint64_t attempt : history.attempts)
        *attempts.add_values() = number_value(static_cast<double>(attempt));
    return out;
}

http_response plain(int status, std::string body) {
    http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace

worker_server::worker_server(event_loop& loop, const clock& time, worker_model_settings with)
    : loop_(loop), time_(time), model_(std::move(with), time.now()) {}

absl::Status worker_server::listen(const std::string& address, std::uint16_t port) {
    auto server = http_server::listen(
        loop_, address, port, http_server_limits{},
        [this](const http_request& request, const responder& to) { handle(request, to); });
    if (!server.ok())
        return server.status();
    server_ = std::move(*server);
    return absl::OkStatus();
}

void worker_server::advance() {
    if (time_.now() >= faults_.frozen_until)
        model_.advance(time_.now());
}

void worker_server::handle(const http_request& request, const responder& to) {
    if (request.path.starts_with(control_path))
        return on_control(request, to);
    if (request.path != "/v1/command" || request.method != http_method::post)
        return to->respond(plain(404, "unknown path\n"));
    if (time_.now() < faults_.frozen_until) {
        frozen_.push_back({request.body, to});
        return;
    }
    on_command(request.body, to);
}

void worker_server::on_command(const std::string& body, const responder& to) {
    pb::WorkerCommand command;
    if (!command.ParseFromString(body))
        return to->respond(plain(400, "not a WorkerCommand\n"));
    const bool cut = faults_.cut_holders.contains(command.holder());
    std::string answer;
    if (!cut)
        answer = model_.handle(command, time_.now()).SerializeAsString();
    if (cut || faults_.lose_replies > 0) {
        faults_.lose_replies -= cut ? 0 : 1;
        withheld_.push_back(to);
        if (withheld_.size() > max_withheld)
            withheld_.pop_front();
        return;
    }
    http_response response = plain(200, std::move(answer));
    response.headers.add("Content-Type", "application/x-protobuf");
    to->respond(std::move(response));
}

void worker_server::on_control(const http_request& request, const responder& to) {
    const std::string_view name = std::string_view(request.path).substr(control_path.size());
    if (name == "state" && request.method == http_method::get) {
        http_response response = plain(200, state());
        response.headers.add("Content-Type", "application/json");
        return to->respond(std::move(response));
    }
    const bool known = apply_fault(name, request.body);
    to->respond(known ? plain(200, "in force\n") : plain(404, "unknown fault or bad body\n"));
}

bool worker_server::apply_fault(std::string_view name, const std::string& body) {
    Struct fields;
    const std::string text = body.empty() ? "{}" : body;
    if (!google::protobuf::util::JsonStringToMessage(text, &fields).ok())
        return false;
    const auto milliseconds =
        std::chrono::milliseconds(static_cast<std::int64_t>(number_in(fields, "ms")));
    if (name == "lose_reply") {
        faults_.lose_replies = static_cast<int>(number_in(fields, "count"));
    } else if (name == "freeze") {
        faults_.frozen_until = time_.now() + milliseconds;
        thaw_timer_ = loop_.after(milliseconds, [this] { thaw(); });
    } else if (name == "restart") {
        model_.restart(static_cast<std::uint64_t>(time_.wall_now().time_since_epoch().count()),
                       time_.now());
    } else if (name == "fail_all") {
        model_.fail_all(flag_in(fields, "on"));
    } else if (name == "report_lag") {
        model_.report_lag(milliseconds);
    } else if (name == "cut") {
        faults_.cut_holders.clear();
        const auto holders = fields.fields().find("holders");
        if (holders != fields.fields().end()) {
            for (const Value& holder : holders->second.list_value().values())
                faults_.cut_holders.insert(holder.string_value());
        }
    } else {
        return false;
    }
    return true;
}

void worker_server::thaw() {
    std::vector<waiting_command> waiting;
    waiting.swap(frozen_);
    for (const waiting_command& one : waiting)
        on_command(one.body, one.to);
}

std::string worker_server::state() const {
    Struct out;
    auto& fields = *out.mutable_fields();
    fields["worker"].set_string_value(model_.settings().name.str());
    fields["holder"].set_string_value(model_.holder());
    fields["epoch"] = number_value(static_cast<double>(model_.epoch()));
    *fields["capacity"].mutable_struct_value() = to_struct(model_.settings().capacity);
    *fields["committed"].mutable_struct_value() = to_struct(model_.committed());
    *fields["max_committed"].mutable_struct_value() = to_struct(model_.max_committed());
    auto& running = *fields["running"].mutable_struct_value()->mutable_fields();
    for (const auto& [name, one] : model_.running())
        running[name] = number_value(static_cast<double>(one.attempt));
    auto& tasks = *fields["tasks"].mutable_struct_value()->mutable_fields();
    for (const auto& [name, history] : model_.histories())
        *tasks[name].mutable_struct_value() = to_struct(history);
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(out, &text).ok())
        return "{}";
    return text;
}

} // namespace figwinch::standin
