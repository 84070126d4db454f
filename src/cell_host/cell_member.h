#pragma once

#include "cell_host/cell_platform.h"
#include "cell_host/intake_writer.h"
#include "cell_host/job_query_server.h"
#include "cell_host/local_job_lookup.h"
#include "cell_host/peer_job_lookup.h"
#include "cell_host/predecessor_asker.h"
#include "cell_host/replica_role.h"
#include "cell_host/routed_job_lookup.h"
#include "cell_host/worker_list.h"
#include "figwinch/cell.h"
#include "figwinch/link.h"

#include <optional>

namespace figwinch {

/// Address, data centre and relay capacity that a host reports to the coordinator.
struct member_info {
    std::string bus_address;
    data_centre_id data_centre;
    /// Number of workers to which it can relay the coordinator's orders.
    std::uint32_t relay_capacity = 0;
};

/// The logic of one host of a cell, without sockets and timers: keeps a read replica of the cell's
/// jobs or queries hosts that have one, takes part in leader election, and runs the coordinator
/// while it is elected. Driven by `tick` and the platform's answers. Owned by `cell_host`.
class cell_member {
public:
    /// `peers` must outlive this object.
    cell_member(const clock& time, cell_platform& platform, peer_client& peers,
                const cell_settings& settings, incarnation_id self, member_info info,
                double cpu_share);

    /// Does all work that is due; returns the delay until the next call.
    duration tick();
    /// Steps down for a planned stop and doesn't stand for election again; callers may still be
    /// served. No more orders are sent, while `tick` keeps trying to store the resignation.
    void resign();
    /// Stops trying to store the resignation, because the process is about to exit.
    void abandon_resignation() { reign_.abandon_resignation(); }
    /// Handles another host's offer to relay orders; returns the encoded reply.
    std::string handle_offer(std::string_view bytes);
    /// Handles a successor's request to step down: ends this host's leadership term and returns the
    /// orders that it leaves outstanding, encoded.
    std::string handle_step_down(std::string_view bytes);
    std::string handle_exchange(std::string_view bytes) {
        return link_server_.handle_exchange(bytes);
    }
    void handle_query(std::string_view bytes, const std::function<void(std::string)>& reply) {
        query_server_.handle(bytes, reply);
    }

    const std::optional<cell_config>& config() const { return config_; }
    const cell_state& state() const { return state_; }
    const leader_election& election() const { return reign_; }
    intake_writer& writer() { return writer_; }
    const intake_writer& writer() const { return writer_; }
    /// Null while this host isn't the coordinator.
    const coordinator* coordinating() const { return coordinator_.get(); }
    /// Number of hosts that relay this coordinator's orders.
    std::size_t relay_count() const { return orders_ ? orders_->relay_count() : 0; }
    /// Number of orders that this host has relayed for coordinators.
    std::uint64_t relayed_orders() const { return link_server_.orders_forwarded(); }
    /// Whether this host can serve callers: it has a configuration, and a read replica or others to
    /// query.
    bool is_loaded() const {
        return config_ && (intake_.is_loaded() || !role_.readers().entries().empty());
    }
    /// Looks up jobs for callers.
    job_lookup& jobs() { return jobs_; }
    /// Whether this host has a complete read replica of the cell's jobs.
    bool has_replica() const { return intake_.is_loaded() && progress_.is_loaded(); }
    std::uint64_t queries_answered() const { return query_server_.answered(); }
    /// Whether the log has answered this host recently.
    bool log_answers() const;
    /// Age of this host's view of workers and of operators' changes: the time since the newest
    /// moment up to which it has read all of them. Only the coordinator reads the workers stream.
    duration workers_age() const { return time_.now() - workers_.current_as_of(); }
    duration operators_age() const { return time_.now() - operators_.current_as_of(); }

private:
    /// A past leadership term of this host and the orders that it left outstanding.
    struct ended_term {
        lease_epoch epoch;
        outstanding_orders orders;
        instant at{};
    };

    /// Whether this host may stand for election.
    bool is_eligible() const;
    void tick_leader();
    /// Whether this host coordinates and may send orders.
    bool can_send_orders() const;
    void yield_leadership();
    void follow_jobs();
    void follow_progress();
    bool keeps_replica() const;
    void drop_replica();
    void report_late_read(const keyed_follower& follower, duration period);
    void look_up(const std::vector<std::string>& keys, const std::function<void()>& done);
    void look_up_remotely(const std::vector<std::string>& keys, const std::function<void()>& done);
    void handle_offer_reply(const std::optional<std::string>& bytes);
    void begin_term();
    void start_coordinator(bool state_read);
    void ask_predecessor();
    void apply_resignation();
    std::optional<outstanding_orders> inherited_account() const;
    std::string account_for_successor() const;
    void end_term();
    void apply_operator_record(const stored_record& record);
    void pass_worker_list();
    bool is_view_fresh() const;
    bool has_current_capacities() const;
    void log_view_change();
    void pass_new_jobs();
    void offer_relay();
    void delete_job_records(const job_id& id, const std::function<void()>& done);

    const clock& time_;
    cell_platform& platform_;
    peer_client& peers_;
    cell_settings settings_;
    incarnation_id self_;
    member_info info_;
    std::optional<cell_config> config_;
    absl::flat_hash_set<data_centre_id> evacuated_;
    worker_list worker_list_;
    cell_state state_;
    keyed_follower operators_;
    keyed_follower workers_;
    keyed_follower intake_;
    keyed_follower progress_;
    replica_role role_;
    local_job_lookup local_jobs_;
    peer_job_lookup peer_jobs_;
    routed_job_lookup jobs_;
    job_query_server query_server_;
    intake_writer writer_;
    leader_election reign_;
    std::unique_ptr<progress_writer> progress_writer_;
    /// Sends orders to workers, directly or through relays. Set while this host coordinates.
    std::unique_ptr<order_router> orders_;
    /// Chooses the hosts that keep read replicas. Set while this host coordinates.
    std::unique_ptr<replica_selector> roster_;
    std::unique_ptr<coordinator> coordinator_;
    /// Set while it is unknown what the predecessor left running on some workers.
    std::unique_ptr<predecessor_asker> predecessor_asker_;
    /// The last leadership term of this host, for a step-down request that comes later.
    std::optional<ended_term> ended_term_;
    relay_server link_server_;
    /// Coordinator that got the last relay offer, whether the offer announced a stop, and when the
    /// next one is due.
    std::string offer_address_;
    bool offered_leaving_ = false;
    instant next_offer_{};
    /// Epoch of the leadership term that `progress_writer_` writes for. Each term is set up once.
    lease_epoch term_epoch_;
    /// Whether the log fenced this host's writes, or its state couldn't be read: the term must end.
    bool term_lost_ = false;
    /// When this host was last not elected, or elected and able to send orders.
    instant could_send_orders_at_{};
    /// Doesn't stand for election before this time.
    instant ineligible_until_{};
    /// Whether the view of workers or operators was logged as too old to start tasks.
    bool view_is_old_ = false;
    /// New jobs that haven't been passed to the coordinator yet.
    std::vector<job_id> new_jobs_;
    /// Whether `state_` holds a read replica or one is being loaded.
    bool replica_started_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
