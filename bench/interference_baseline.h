#pragma once

#include "figwinch/interference.h"

#include <map>
#include <string>

namespace figwinch {

/// What the simple controllers that the real one is compared with have in common: one service a
/// host, the last report believed as it is, no learned pairs.
class interference_baseline : public interference_controller {
public:
    void observe_latency(const std::string& host, const service_id& /*service*/, duration p99,
                         duration target, std::int64_t /*samples*/, instant /*now*/) override {
        ratios_[host] = static_cast<double>(p99.count()) / static_cast<double>(target.count());
    }
    double penalty(const std::string& /*host*/, const template_id& /*copied_from*/,
                   instant /*now*/) const override {
        return 0;
    }

protected:
    double ratio(const std::string& host) const {
        const auto found = ratios_.find(host);
        return found == ratios_.end() ? 0 : found->second;
    }
    /// Whether three seconds have passed since the last step on the host, and begins the next.
    bool begin_step(const std::string& host, instant now) {
        instant& last = steps_[host];
        if (now - last < std::chrono::seconds(3))
            return false;
        last = now;
        return true;
    }

private:
    std::map<std::string, double> ratios_;
    std::map<std::string, instant> steps_;
};

} // namespace figwinch
