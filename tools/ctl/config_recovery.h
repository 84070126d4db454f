#pragma once

#include "ctl/change_result.h"
#include "figwinch/config.h"

#include <functional>
#include <memory>
#include <string>

namespace figwinch {

/// What an operator wants to be in force after the log has lost the configuration.
struct recovery_request {
    std::string author;
    std::string comment;
    record_id record;
    /// The last version that anybody knows of; the recovered one is the next.
    config_version base;
    manifest wanted;
};

/// Puts a configuration into force when the log keeps records of the `config` stream but nothing
/// that their state could be made from, as after a stop of the whole system for longer than the log
/// keeps records. Refused while the configuration can be read. Driven by `tick`; calls back once.
class config_recovery {
public:
    using callback = std::function<void(const change_result&)>;

    config_recovery(log_client& log, const clock& time, config_follower_settings settings,
                    recovery_request request, duration limit, callback done);

    void tick(instant now);

private:
    std::string snapshot_record() const;
    std::string audit_record() const;
    void append();
    /// A recovery is no change that the fold judges, so that no process writes its audit record.
    void write_audit();
    void finish(change_end end, result_code code, std::string reason);

    log_client& log_;
    const clock& time_;
    recovery_request request_;
    callback done_;
    config_follower follower_;
    instant deadline_;
    bool was_sent_ = false;
    bool is_done_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
