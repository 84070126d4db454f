#include "tools/experiment/metric.h"

#include <array>

namespace figwinch::experiment {
namespace {

template <auto member>
std::optional<double> value_of(const class_result& of) {
    return of.*member;
}

template <auto member>
std::optional<double> count_of(const class_result& of) {
    return static_cast<double>(of.*member);
}

} // namespace

std::span<const metric> metrics() {
    static constexpr std::array table = {
        metric{"handed_in", count_of<&class_result::handed_in>},
        metric{"accepted", count_of<&class_result::accepted>},
        metric{"in_time", count_of<&class_result::in_time>},
        metric{"late", count_of<&class_result::late>},
        metric{"failed", count_of<&class_result::failed>},
        metric{"unfinished", count_of<&class_result::unfinished>},
        metric{"p50_s", value_of<&class_result::p50_s>},
        metric{"p99_s", value_of<&class_result::p99_s>},
        metric{"share_served", value_of<&class_result::share_served>},
        metric{"worth", value_of<&class_result::worth>},
        metric{"work", value_of<&class_result::work>},
        metric{"starts", count_of<&class_result::starts>},
        metric{"stops", count_of<&class_result::stops>},
        metric{"lapses", count_of<&class_result::lapses>},
    };
    return table;
}

} // namespace figwinch::experiment
