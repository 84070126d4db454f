#pragma once

#include "figwinch/config/config_fold.h"
#include "figwinch/config/config_follower_settings.h"
#include "figwinch/config/config_view.h"
#include "figwinch/config/peer_offer.h"
#include "figwinch/config/recovery_state.h"
#include "figwinch/config/snapshot_schedule.h"
#include "figwinch/log/log_client.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// Keeps this process's view of the accepted configuration current: from the log, and from peers
/// where the log can't be read. Owned by the daemon, which calls `tick` at least every 50 ms.
class config_follower final : public config_view {
public:
    using state_callback = std::function<void(absl::StatusOr<std::string>)>;
    /// Asks the peer at an address for its state (`config_fold::snapshot`) newer than a version.
    using state_fetcher =
        std::function<void(const std::string& address, config_version newer_than, state_callback)>;
    using outcome_listener = std::function<void(log_offset, const fold_outcome&)>;

    config_follower(log_client& log, const clock& time, config_follower_settings settings,
                    state_fetcher fetch);

    void tick(instant now);
    /// Takes a peer's word: confirms this view when the versions are equal, fetches when the peer's
    /// is newer.
    void offer_peer_state(const peer_offer& offer);

    std::shared_ptr<const manifest> current() const override { return fold_.current(); }
    config_version version() const override { return fold_.version(); }
    freshness judge(instant now) const override;
    void on_change(listener call) override { listeners_.push_back(std::move(call)); }

    /// Called for each record as it is judged, in the order of the log.
    void on_outcome(outcome_listener call) { outcome_listeners_.push_back(std::move(call)); }
    /// Since this view was confirmed, for heartbeats; empty: never.
    std::optional<duration> age(instant now) const;
    recovery_state state() const { return state_; }
    /// The last record that is part of the state.
    log_offset offset() const { return fold_.offset(); }
    /// What is missing before `following`, for logs and readiness; empty when nothing is.
    std::string lacks() const;
    /// The state for a peer whose version is older.
    std::string snapshot() const { return fold_.snapshot(); }
    /// Snapshots that this process has appended.
    std::uint64_t snapshots_appended() const { return snapshots_appended_; }

private:
    void send_read(instant now);
    void take_page(const absl::StatusOr<log_page>& page, instant sent_at);
    void fold_page(const log_page& page, instant sent_at);
    void scan_page(const log_page& page);
    void fold_record(const log_record& record);
    void take_error(const absl::Status& error, instant sent_at);
    void fetch_from(const std::string& address, config_version newer_than);
    void take_state(const absl::StatusOr<std::string>& state);
    void append_snapshot(instant now);
    void announce(config_version before);

    log_client& log_;
    const clock& time_;
    config_follower_settings settings_;
    state_fetcher fetch_;
    config_fold fold_;
    log_evidence evidence_;
    snapshot_schedule schedule_;
    recovery_state state_ = recovery_state::reading;
    result_code last_error_ = result_code::ok;
    /// The newest version that any peer has told of.
    config_version heard_;

    /// Where the search for a usable snapshot goes on; none while records are folded.
    log_offset scan_from_;
    bool read_open_ = false;
    bool read_at_once_ = true;
    std::uint64_t read_number_ = 0;
    instant read_sent_{};
    bool fetch_open_ = false;
    std::uint64_t fetch_number_ = 0;
    instant fetch_sent_{};
    std::uint64_t snapshots_appended_ = 0;

    std::vector<listener> listeners_;
    std::vector<outcome_listener> outcome_listeners_;
    /// Lets late callbacks see that the follower is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
