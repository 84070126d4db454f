#pragma once

#include "figwinch/config.h"
#include "tests/log/sim_log.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace figwinch {

/// One process of a history: a follower that can be cut off, frozen, slowed and restarted.
class history_host {
public:
    /// Delivers a peer's state to a callback, or an error, some time later.
    using fetcher = std::function<void(const std::string& peer, config_follower::state_callback)>;

    history_host(sim_loop& loop, sim_log& log, std::string name, fetcher fetch)
        : loop_(loop), log_(log), name_(std::move(name)), fetch_(std::move(fetch)) {
        restart();
        tick();
    }

    void restart() {
        links_.push_back(std::make_unique<sim_log_client>(loop_, log_));
        link = links_.back().get();
        config_follower_settings settings;
        settings.self = node_id(name_);
        settings.retention = std::chrono::seconds(8);
        settings.snapshot_every = 8;
        follower = std::make_unique<config_follower>(
            *link, loop_.time(), settings,
            [this](const std::string& peer, config_version, config_follower::state_callback done) {
                fetch_(peer, std::move(done));
            });
        follower->on_change([this](const manifest&, config_version version) {
            went_back = went_back || version <= announced;
            announced = version;
        });
        announced = config_version();
        disturb();
    }
    /// Anything that keeps this process from hearing in time.
    void disturb() { undisturbed_since = loop_.now(); }

    sim_log_client* link = nullptr;
    std::unique_ptr<config_follower> follower;
    bool is_frozen = false;
    bool is_isolated = false;
    instant undisturbed_since{};
    config_version announced;
    bool went_back = false;

private:
    void tick() {
        if (!is_frozen)
            follower->tick(loop_.now());
        loop_.after(std::chrono::milliseconds(100), [this] { tick(); });
    }

    sim_loop& loop_;
    sim_log& log_;
    std::string name_;
    fetcher fetch_;
    /// Links of earlier runs stay, since calls of theirs may be under way.
    std::vector<std::unique_ptr<sim_log_client>> links_;
};

} // namespace figwinch
