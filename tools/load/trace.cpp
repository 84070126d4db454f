#include "tools/load/trace.h"

#include "figwinch/base.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <random>

namespace figwinch::load {
namespace {

bool is_complete(const pb::TraceLine& line) {
    if (line.at_ms() < 0 || line.id().empty() || line.customer().empty())
        return false;
    if (line.kind() == "request")
        return !line.service().empty() && line.deadline_ms() > 0;
    if (line.kind() == "job")
        return line.tasks() > 0;
    return line.kind() == "cancel";
}

absl::Status fault_in(int number, const std::string& why) {
    return make_error(result_code::invalid_value, "line " + std::to_string(number) + ": " + why);
}

} // namespace

absl::StatusOr<trace> read_trace(std::istream& in) {
    trace events;
    std::string text;
    for (int number = 1; std::getline(in, text); ++number) {
        if (text.empty())
            continue;
        pb::TraceLine line;
        const auto parsed = google::protobuf::util::JsonStringToMessage(text, &line);
        if (!parsed.ok())
            return fault_in(number, parsed.ToString());
        if (!is_complete(line))
            return fault_in(number, "a request needs service and deadline_ms, a job tasks, and "
                                    "every line kind, id and customer");
        events.push_back(std::move(line));
    }
    std::ranges::stable_sort(events, {}, &pb::TraceLine::at_ms);
    return events;
}

trace poisson_trace(const poisson_settings& settings) {
    constexpr double ms_per_second = 1000;
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap_seconds(settings.rate);
    trace events;
    for (double at = gap_seconds(random); at < settings.seconds; at += gap_seconds(random)) {
        pb::TraceLine line;
        line.set_at_ms(at * ms_per_second);
        line.set_kind("request");
        line.set_id("r" + std::to_string(settings.seed) + "-" + std::to_string(events.size()));
        line.set_customer(settings.customer);
        line.set_service(settings.service);
        line.set_idempotent(settings.idempotent);
        line.set_deadline_ms(settings.deadline_ms);
        line.set_work_ms(settings.work_ms);
        events.push_back(std::move(line));
    }
    return events;
}

} // namespace figwinch::load
