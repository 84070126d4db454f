#pragma once

#include "cell_host/cell_host_settings.h"
#include "cell_host/cell_platform.h"
#include "cell_host/intake_writer.h"
#include "cell_host/job_front.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace figwinch {

/// One host of a cell: takes callers' jobs, keeps a copy of the cell's state, stands for the reign
/// and, while it holds it, coordinates. Owned by `main`.
class cell_host {
public:
    cell_host(event_loop& loop, cell_platform& platform, const cell_host_settings& with,
              incarnation_id self);

    absl::Status listen();
    /// A planned stop: the reign goes at once, readiness with it; callers are served until the
    /// balancer has seen that.
    void stop();

private:
    void tick();
    void schedule_tick(duration delay);
    void lead();
    void begin_reign();
    void start_coordinator(bool state_read);
    void end_reign();
    void take_operators(const stored_record& record);
    void take_worker(const stored_record& record);
    void pass_listing();
    bool is_ready() const;
    bool log_answers() const;
    void sync_intake(const std::function<void(bool)>& done);
    void forget_job(const job_id& id, const std::function<void()>& done);
    void answer_ready(const std::shared_ptr<http_responder>& answer) const;
    std::string expose_metrics() const;
    void finish_stop();

    event_loop& loop_;
    system_clock time_;
    cell_platform& platform_;
    cell_host_settings with_;
    std::optional<cell_config> config_;
    absl::flat_hash_set<data_centre_id> evacuated_;
    std::map<worker_id, worker_listing> listing_;
    bool listing_changed_ = false;
    instant listing_passed_{};
    cell_state state_;
    keyed_follower operators_;
    keyed_follower workers_;
    keyed_follower intake_;
    keyed_follower progress_;
    intake_writer writer_;
    reign reign_;
    job_front front_;
    std::unique_ptr<progress_writer> journal_;
    std::unique_ptr<coordinator> coordinator_;
    /// The reign that `journal_` is for; a reign is prepared once.
    lease_epoch prepared_;
    bool deposed_ = false;
    bool stopping_ = false;
    std::unique_ptr<http_server> callers_server_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> metrics_server_;
    std::unique_ptr<event_handle> ticking_;
    std::unique_ptr<event_handle> notice_;
    std::unique_ptr<event_handle> bound_;
    std::unique_ptr<event_handle> draining_;
};

} // namespace figwinch
