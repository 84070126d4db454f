#include "figwinch/observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace figwinch {

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

metrics::~metrics() = default;

prometheus::Counter& metrics::counter(const std::string& name, const std::string& help,
                                      const labels& with) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(with);
}

prometheus::Gauge& metrics::gauge(const std::string& name, const std::string& help,
                                  const labels& with) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(with);
}

prometheus::Histogram& metrics::histogram(const std::string& name, const std::string& help,
                                          const std::vector<double>& bounds, const labels& with) {
    auto& family = prometheus::BuildHistogram().Name(name).Help(help).Register(*registry_);
    return family.Add(with, prometheus::Histogram::BucketBoundaries(bounds));
}

std::string metrics::expose() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace figwinch
