#pragma once

#include "figwinch/config.h"

#include <memory>
#include <utility>
#include <vector>

namespace figwinch::testing {

/// A view that a test sets by hand.
class fake_config_view final : public config_view {
public:
    std::shared_ptr<const manifest> current() const override { return current_; }
    config_version version() const override { return version_; }
    freshness judge(instant now) const override { return evidence_.judge(now); }
    void on_change(listener call) override { listeners_.push_back(std::move(call)); }

    /// Takes a newer version; older ones are ignored, as the real view does.
    void set(std::shared_ptr<const manifest> config, config_version version) {
        if (version <= version_)
            return;
        current_ = std::move(config);
        version_ = version;
    }
    log_evidence& evidence() { return evidence_; }

private:
    std::shared_ptr<const manifest> current_;
    config_version version_;
    log_evidence evidence_{freshness_limits{}};
    std::vector<listener> listeners_;
};

} // namespace figwinch::testing
