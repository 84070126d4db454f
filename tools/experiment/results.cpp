#include "tools/experiment/results.h"

#include <absl/strings/str_format.h>

#include <array>

namespace figwinch::experiment {
namespace {

/// Mean over the days that have a value.
std::optional<double> mean_of(const std::vector<day_result>& days, std::size_t of_class,
                              const metric& column) {
    double sum = 0;
    std::size_t count = 0;
    for (const day_result& day : days)
        if (const auto value = column.of(day.classes[of_class])) {
            sum += *value;
            ++count;
        }
    return count == 0 ? std::nullopt : std::optional(sum / static_cast<double>(count));
}

std::string cell_of(const std::optional<double>& value) {
    return value ? absl::StrFormat("%.9g", *value) : std::string();
}

void print_setup(std::ostream& out, const std::vector<day_result>& days) {
    out << absl::StrFormat("%s, means of %d days\n%-16s", days.front().setup, days.size(), "class");
    for (const metric& column : metrics())
        out << absl::StrFormat("%13s", column.name);
    out << '\n';
    for (std::size_t of_class = 0; of_class < days.front().classes.size(); ++of_class) {
        out << absl::StrFormat("%-16s", days.front().classes[of_class].name);
        for (const metric& column : metrics()) {
            const auto mean = mean_of(days, of_class, column);
            out << absl::StrFormat("%13s", mean ? absl::StrFormat("%.4g", *mean) : "-");
        }
        out << '\n';
    }
}

constexpr std::array pair_columns = {"mean", "median", "spread", "standard_error", "least", "most"};

std::array<double, pair_columns.size()> values_of(const paired_difference& of) {
    return {of.mean, of.median, of.spread, of.standard_error, of.least, of.most};
}

} // namespace

void print_results(std::ostream& out, const results& found) {
    for (const std::vector<day_result>& days : found.days)
        print_setup(out, days);
    if (found.compared.empty())
        return;
    out << absl::StrFormat("variant less base, seed by seed, %d pairs\n%-16s%-14s",
                           found.compared.front().difference.pairs, "class", "metric");
    for (const char* const column : pair_columns)
        out << absl::StrFormat("%16s", column);
    out << '\n';
    for (const comparison& row : found.compared) {
        if (row.difference.least == 0 && row.difference.most == 0)
            continue;
        out << absl::StrFormat("%-16s%-14s", row.of_class, row.metric);
        for (const double value : values_of(row.difference))
            out << absl::StrFormat("%16.4g", value);
        out << '\n';
    }
}

void write_days_csv(std::ostream& out, const results& found) {
    out << "setup,seed,class";
    for (const metric& column : metrics())
        out << ',' << column.name;
    out << '\n';
    for (const std::vector<day_result>& days : found.days)
        for (const day_result& day : days)
            for (const class_result& of_class : day.classes) {
                out << day.setup << ',' << day.seed << ',' << of_class.name;
                for (const metric& column : metrics())
                    out << ',' << cell_of(column.of(of_class));
                out << '\n';
            }
}

void write_pairs_csv(std::ostream& out, const results& found) {
    out << "class,metric,pairs";
    for (const char* const column : pair_columns)
        out << ',' << column;
    out << '\n';
    for (const comparison& row : found.compared) {
        out << row.of_class << ',' << row.metric << ',' << row.difference.pairs;
        for (const double value : values_of(row.difference))
            out << ',' << cell_of(value);
        out << '\n';
    }
}

} // namespace figwinch::experiment
