#pragma once

#include "figwinch/config.h"

#include <vector>

namespace figwinch {

/// A configuration that a test sets.
class fake_config final : public config_view {
public:
    void set(const manifest& newer) {
        current_ = std::make_shared<const manifest>(newer);
        version_ = version_.next();
        for (const listener& call : listeners_)
            call(*current_, version_);
    }
    std::shared_ptr<const manifest> current() const override { return current_; }
    config_version version() const override { return version_; }
    freshness judge(instant) const override { return freshness::confirmed; }
    void on_change(listener call) override { listeners_.push_back(std::move(call)); }

private:
    std::shared_ptr<const manifest> current_;
    config_version version_;
    std::vector<listener> listeners_;
};

} // namespace figwinch
