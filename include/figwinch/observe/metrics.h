#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace figwinch {

/// The metrics of one process by prometheus-cpp. Names start with "figwinch_" and end in their
/// unit; labels have bounded values. References stay valid as long as the object lives.
class metrics {
public:
    using labels = std::map<std::string, std::string>;

    metrics();
    ~metrics();

    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const labels& with = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const labels& with = {});
    /// `bounds` are upper bounds of the buckets, in the unit of the name.
    prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                     const std::vector<double>& bounds, const labels& with = {});
    /// The body of GET /metrics.
    std::string expose() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace figwinch
