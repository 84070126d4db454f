#pragma once

#include "figwinch/config/manifest.h"
#include "figwinch/log/log_evidence.h"

#include <functional>
#include <memory>

namespace figwinch {

/// What a daemon knows of the accepted configuration. Implemented by the configuration follower;
/// tests use a fake. `current` never goes back to an older version.
class config_view {
public:
    using listener = std::function<void(const manifest&, config_version)>;

    virtual ~config_view() = default;
    /// Null until the first version is known.
    virtual std::shared_ptr<const manifest> current() const = 0;
    virtual config_version version() const = 0;
    /// Whether the view may be acted on at `now`.
    virtual freshness judge(instant now) const = 0;
    /// Called after each newer version, for as long as the view lives.
    virtual void on_change(listener call) = 0;
};

} // namespace figwinch
