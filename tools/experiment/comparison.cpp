#include "tools/experiment/comparison.h"

namespace figwinch::experiment {
namespace {

/// One value a day; none when a day has no value.
std::vector<double> values_of(const std::vector<day_result>& days, std::size_t of_class,
                              const metric& column) {
    std::vector<double> values;
    for (const day_result& day : days) {
        const std::optional<double> value = column.of(day.classes[of_class]);
        if (!value)
            return {};
        values.push_back(*value);
    }
    return values;
}

} // namespace

std::vector<comparison> compare_days(const std::vector<day_result>& first,
                                     const std::vector<day_result>& second) {
    std::vector<comparison> compared;
    if (first.empty() || first.size() != second.size())
        return compared;
    for (std::size_t of_class = 0; of_class < first.front().classes.size(); ++of_class)
        for (const metric& column : metrics()) {
            const std::vector<double> one = values_of(first, of_class, column);
            const std::vector<double> other = values_of(second, of_class, column);
            if (!one.empty() && !other.empty())
                compared.push_back(
                    {first.front().classes[of_class].name, column.name, compare_pairs(one, other)});
        }
    return compared;
}

} // namespace figwinch::experiment
