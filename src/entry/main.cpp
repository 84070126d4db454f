// figwinch-entry: takes callers' interactive requests and batch jobs.

#include "entry/entry_core.h"
#include "entry/entry_settings.h"
#include "entry/voter_roster.h"
#include "figwinch/config.h"
#include "log/http_host_list_client.h"
#include "log/http_log_client.h"
#include "membership/config_exchange.h"

#include <csignal>
#include <iostream>
#include <random>
#include <utility>

namespace {

using namespace figwinch;

constexpr duration log_timeout = std::chrono::seconds(1);
constexpr duration second = std::chrono::seconds(1);
constexpr duration follower_period = std::chrono::milliseconds(50);
constexpr duration drain_period = std::chrono::milliseconds(20);
constexpr std::size_t platform_connections = 4;

constexpr std::string_view summary =
    "takes callers' interactive requests to executors, and submits, shows and cancels jobs.";

/// Everything of the running process. Owned by `main`.
class entry_daemon {
public:
    entry_daemon(event_loop& loop, const entry_settings& with, std::unique_ptr<bus> messages)
        : loop_(loop), with_(with), messages_(std::move(messages)),
          peers_(peer_service::create(loop, time_, *messages_, peers_of(with, *messages_))),
          platform_(http_client::create(loop, with.platform, platform_connections)),
          log_(*platform_, node_id(with.node), log_timeout),
          hosts_(*platform_, node_id(with.node), log_timeout),
          config_(log_, time_, follower_of(with), fetch_config_from(*peers_, log_timeout)),
          core_(loop, time_, *peers_, config_, measured_, with.core),
          roster_(log_, core_.guard(), peers_->self(), with.core.claims.voters) {
        exchange_config(config_, *peers_, time_);
        peers_->describe_with(
            [this](pb::Heartbeat& beat) { beat.set_roster_complete(roster_.is_complete()); });
        peers_->on_heartbeat([this](const member&, const pb::Heartbeat& beat, instant) {
            if (beat.roster_complete())
                roster_.note_complete();
        });
        follow_ = loop_.every(follower_period, [this] { config_.tick(time_.now()); });
        each_second_ = loop_.every(second, [this] { every_second(); });
        config_.tick(time_.now());
        roster_.tick();
    }

    absl::Status listen() { return core_.listen(with_.http.address, with_.http.port); }
    std::uint16_t http_port() const { return core_.port(); }
    std::uint16_t bus_port() const { return messages_->port(); }

    /// A planned stop: readiness goes first, so that the balancer sends no more; then no request is
    /// taken; the process ends when all are answered, or at the bound.
    void stop() {
        if (bound_ != nullptr)
            return;
        log_event(log_level::info, "stopping", {});
        core_.announce_stop();
        bound_ = loop_.after(with_.drain_bound, [this] {
            log_event(log_level::error, "stop_bound_reached", {});
            loop_.stop();
        });
        notice_ = loop_.after(with_.drain_notice, [this] {
            core_.stop_taking();
            drain_ = loop_.every(drain_period, [this] {
                if (core_.is_drained())
                    loop_.stop();
            });
        });
    }

private:
    static peer_settings peers_of(const entry_settings& with, const bus& messages) {
        peer_settings peers;
        peers.self.node = node_id(with.node);
        peers.self.incarnation = incarnation_of(with.node);
        peers.self.role = member_role::entry;
        peers.self.data_centre = data_centre_id(with.data_centre);
        peers.self.address = to_string(endpoint{with.bus.address, messages.port()});
        peers.self.state = member_state::live;
        peers.seeds = with.peers;
        return peers;
    }
    static config_follower_settings follower_of(const entry_settings& with) {
        config_follower_settings follower;
        follower.self = node_id(with.node);
        follower.retention = with.log_retention;
        return follower;
    }

public:
    static incarnation_id incarnation_of(const std::string& node) {
        static const std::uint32_t run = std::random_device{}();
        return incarnation_id(node + "#" + std::to_string(run));
    }

private:
    void every_second() {
        roster_.tick();
        if (std::exchange(fetching_, true))
            return;
        hosts_.fetch([this](const absl::StatusOr<std::vector<host_entry>>& hosts) {
            fetching_ = false;
            if (hosts.ok())
                take_hosts(*hosts);
        });
    }
    void take_hosts(const std::vector<host_entry>& hosts) {
        std::vector<executor_id> leaving;
        for (const host_entry& host : hosts)
            if (host.kind == host_kind::executor && host.is_leaving)
                leaving.emplace_back(host.name);
        core_.set_listed_leaving(leaving);
    }

    event_loop& loop_;
    entry_settings with_;
    system_clock time_;
    metrics measured_;
    std::unique_ptr<bus> messages_;
    std::unique_ptr<peer_service> peers_;
    std::unique_ptr<http_client> platform_;
    http_log_client log_;
    http_host_list_client hosts_;
    bool fetching_ = false;
    config_follower config_;
    entry_core core_;
    voter_roster roster_;
    std::unique_ptr<event_handle> follow_;
    std::unique_ptr<event_handle> each_second_;
    std::unique_ptr<event_handle> bound_;
    std::unique_ptr<event_handle> notice_;
    std::unique_ptr<event_handle> drain_;
};

} // namespace

int main(int argc, char** argv) {
    settings_reader reader({"figwinch-entry",
                            std::string(summary),
                            {"figwinch-entry --node=entry-1 --data_centre=lugo-1 "
                             "--log=127.0.0.1:7100 --entries=3"}},
                           argc, argv);
    check_entry_flags(reader);
    if (!reader.accept())
        return 2;
    const entry_settings with = read_entry_flags();
    start_logging("figwinch-entry", with.node, with.level);
    event_loop loop;
    const system_clock time;
    auto messages = bus::bind(loop, time, with.bus.address, with.bus.port,
                              entry_daemon::incarnation_of(with.node));
    if (!messages.ok()) {
        std::cerr << messages.status().message() << '\n';
        return 2;
    }
    entry_daemon daemon(loop, with, std::move(*messages));
    if (const absl::Status listening = daemon.listen(); !listening.ok()) {
        std::cerr << listening.message() << '\n';
        return 2;
    }
    log_event(log_level::info, "listening",
              {{"http_port", std::int64_t{daemon.http_port()}},
               {"bus_port", std::int64_t{daemon.bus_port()}},
               {"incarnation", entry_daemon::incarnation_of(with.node).str()}});
    const auto on_term = loop.on_signal(SIGTERM, [&daemon] { daemon.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&daemon] { daemon.stop(); });
    loop.run();
    log_event(log_level::info, "stopped", {});
    return 0;
}
