#pragma once

#include "ctl/change_request.h"
#include "ctl/change_result.h"
#include "figwinch/config.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace figwinch {

/// Publishes one change: reads the configuration in force, appends the smaller of change and whole
/// manifest, and waits until the fold has judged it. Driven by `tick`; calls back once.
class change_publisher {
public:
    using callback = std::function<void(const change_result&)>;
    /// Makes ids of records; each call gives another one.
    using id_source = std::function<record_id()>;

    change_publisher(log_client& log, const clock& time, config_follower_settings settings,
                     change_request request, id_source ids, duration limit, callback done);

    void tick(instant now);

private:
    struct accepted_change {
        record_id record;
        std::string author;
        std::string comment;
    };

    void take_outcome(const fold_outcome& outcome);
    void prepare();
    std::string record_for(const manifest& current, const manifest& wanted) const;
    void append();
    void append_again(instant now);
    void give_up();
    void lose(const fold_outcome& outcome);
    void finish(change_result result);

    log_client& log_;
    const clock& time_;
    change_request request_;
    id_source ids_;
    callback done_;
    config_follower follower_;
    instant deadline_;
    std::map<config_version, accepted_change> accepted_;

    record_id record_;
    std::string payload_;
    bool append_open_ = false;
    /// An append ended without an answer; it may have taken effect.
    bool may_have_landed_ = false;
    std::optional<instant> append_failed_at_;
    std::optional<fold_outcome> judged_;
    result_code last_error_ = result_code::ok;
    bool is_done_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
