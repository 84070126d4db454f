#pragma once

#include "tests/config/config_records.h"
#include "tests/config/history_host.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figwinch {

/// One seeded history: operators race, appends are doubled, the log goes down, silent, loses
/// records; processes are cut off, frozen, restarted; peers are slow. Every 100 ms it checks what
/// must always hold.
class config_history {
public:
    config_history(unsigned seed, bool with_lag);

    /// What went wrong first; empty when nothing did.
    std::string run();
    bool was_recoverable() const { return was_recoverable_; }
    std::uint64_t accepted() const { return truth_.version().value(); }

private:
    using fault = void (config_history::*)();

    int pick(int most) { return static_cast<int>(random_() % static_cast<unsigned>(most)); }
    duration pick_ms(int low, int high) {
        return std::chrono::milliseconds(low + pick(high - low));
    }
    history_host& any() { return *hosts_[static_cast<std::size_t>(pick(host_count))]; }
    void later(duration delay, std::function<void()> call) { loop_.after(delay, std::move(call)); }

    void append(const std::string& record);
    void operate();
    void break_something();
    void outage();
    void cut_off();
    void isolate();
    void freeze();
    void restart();
    void lag();
    void truncate();
    void repeat_old_record();
    void meet_peer(history_host& host);
    void deliver_state(const std::string& peer, const config_follower::state_callback& done);
    /// Folds each record into the reference as it is appended.
    void fold_truth(const log_record& record);
    void check();
    void check_host(const history_host& host);
    void fail(const std::string& what);
    void heal();
    bool can_recover();

    static constexpr int host_count = 4;

    std::mt19937 random_;
    bool with_lag_;
    sim_loop loop_;
    sim_log log_{loop_};
    config_fold truth_;
    std::map<config_version, std::shared_ptr<const manifest>> versions_;
    std::map<config_version, instant> accepted_at_;
    std::vector<std::unique_ptr<history_host>> hosts_;
    std::vector<std::string> written_;
    int changes_ = 0;
    /// Since when the log has been up, or down.
    instant log_turned_at_{};
    /// Since when data centre a has been out of service; empty while it is in.
    std::optional<instant> drained_at_;
    /// The longest time that the log has been up without a break since the drain.
    duration up_since_drain_{};
    bool was_recoverable_ = true;
    std::string failure_;
};

} // namespace figwinch
