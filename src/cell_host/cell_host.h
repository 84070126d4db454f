#pragma once

#include "cell_host/bus_asker.h"
#include "cell_host/bus_shared_writer.h"
#include "cell_host/cell_host_settings.h"
#include "cell_host/cell_member.h"
#include "cell_host/cell_metrics.h"
#include "cell_host/handover_server.h"
#include "cell_host/host_load_logger.h"
#include "cell_host/job_api.h"

namespace figwinch {

/// The daemon of one host of a cell: runs a `cell_member` on the event loop, talks to other hosts
/// over the bus, and serves the HTTP job API, the readiness check and metrics. Owned by `main`.
class cell_host {
public:
    cell_host(event_loop& loop, cell_platform& platform, const cell_host_settings& settings,
              incarnation_id self);

    absl::Status listen();
    /// Starts a planned stop: steps down as coordinator and fails the readiness check at once.
    /// Callers are served until the load balancer has noticed and their requests have ended; until
    /// then the resignation is retried if the log doesn't have it yet.
    void stop();

private:
    void tick();
    bool is_ready() const { return !stopping_ && member_.is_loaded() && member_.log_answers(); }
    absl::Status listen_to_peers();
    void handle_peer_message(std::string_view message,
                             const std::function<void(std::string)>& reply);
    /// Bus address of the shared writer, which is the coordinator; nullopt if it is unknown or this
    /// host.
    std::optional<std::string> writer_address() const;
    void log_load();
    void handle_readiness_check(const std::shared_ptr<http_responder>& answer) const;
    void drain_requests();
    void exit_loop();

    event_loop& loop_;
    system_clock time_;
    cell_platform& platform_;
    cell_host_settings settings_;
    incarnation_id self_;
    cell_metrics metrics_;
    bus_asker asker_;
    cell_member member_;
    job_api job_api_;
    handover_server handovers_;
    bool stopping_ = false;
    std::unique_ptr<bus> peers_;
    std::unique_ptr<bus_shared_writer> writer_;
    std::unique_ptr<http_server> callers_server_;
    std::unique_ptr<http_server> ready_server_;
    std::unique_ptr<http_server> metrics_server_;
    std::unique_ptr<event_handle> tick_timer_;
    std::unique_ptr<event_handle> load_timer_;
    host_load_logger load_logger_;
    std::unique_ptr<event_handle> drain_notice_timer_;
    std::unique_ptr<event_handle> stop_bound_timer_;
    std::unique_ptr<event_handle> drain_timer_;
};

} // namespace figwinch
