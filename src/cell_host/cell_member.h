#pragma once

#include "cell_host/cell_platform.h"
#include "cell_host/intake_writer.h"
#include "cell_host/local_jobs.h"
#include "cell_host/peer_jobs.h"
#include "cell_host/predecessor_asker.h"
#include "cell_host/question_server.h"
#include "cell_host/reading_role.h"
#include "cell_host/routed_jobs.h"
#include "cell_host/worker_list.h"
#include "figwinch/cell.h"
#include "figwinch/link.h"

#include <optional>

namespace figwinch {

/// What a host offers to the coordinator of its cell.
struct member_place {
    std::string bus_address;
    data_centre_id data_centre;
    /// Workers whose calls it can make.
    std::uint32_t carries = 0;
};

/// One host's part in a cell, without sockets and timers: keeps a copy of the cell's state or asks
/// hosts that do, stands for the reign and, while it holds it, runs the coordinator. Driven by
/// `tick` and the platform's answers. Owned by `cell_host`.
class cell_member {
public:
    /// `peers` outlives it.
    cell_member(const clock& time, cell_platform& platform, peer_client& peers,
                const cell_settings& settings, incarnation_id self, member_place place,
                double cpu_share);

    /// Does what is due; returns how long the next call may wait.
    duration tick();
    /// Gives the reign up for a planned stop; callers may still be served. From then on it orders
    /// nothing, and `tick` goes on until the log has the resignation.
    void resign();
    /// The process ends.
    void abandon_resignation() { reign_.abandon_resignation(); }
    /// A message of another host; returns the reply.
    std::string take_offer(std::string_view bytes);
    /// Ends this host's reign when another asks that follows it.
    std::string take_step_down(std::string_view bytes);
    std::string take_exchange(std::string_view bytes) {
        return link_server_.handle_exchange(bytes);
    }
    void take_question(std::string_view bytes, const std::function<void(std::string)>& reply) {
        questions_.handle(bytes, reply);
    }

    const std::optional<cell_config>& config() const { return config_; }
    const cell_state& state() const { return state_; }
    const reign& election() const { return reign_; }
    intake_writer& writer() { return writer_; }
    const intake_writer& writer() const { return writer_; }
    /// Nothing while another host coordinates.
    const coordinator* coordinating() const { return coordinator_.get(); }
    /// Hosts by way of which this one's orders go.
    std::size_t links() const { return orders_ ? orders_->relay_count() : 0; }
    std::uint64_t passed_on() const { return link_server_.orders_forwarded(); }
    /// Whether it can serve callers.
    bool is_loaded() const {
        return config_ && (intake_.is_loaded() || !role_.readers().entries().empty());
    }
    /// Answers callers' questions about jobs.
    job_source& jobs() { return jobs_; }
    /// Whether this host keeps a copy of the cell's jobs, and has all of it.
    bool has_copy() const { return intake_.is_loaded() && progress_.is_loaded(); }
    std::uint64_t questions_answered() const { return questions_.answered(); }
    /// Whether the log has answered this host lately.
    bool log_answers() const;
    /// How long ago the newest moment is up to which all notices of workers, or of operators, are
    /// known. Workers are followed by the coordinator alone.
    duration workers_age() const { return time_.now() - workers_.current_at(); }
    duration operators_age() const { return time_.now() - operators_.current_at(); }

private:
    struct ended_reign {
        lease_epoch epoch;
        outstanding_orders orders;
        instant at{};
    };

    /// Whether this host could coordinate if it were elected.
    bool can_coordinate() const;
    void lead();
    bool is_useful() const;
    void step_aside();
    void follow_jobs();
    void follow_progress();
    bool keeps_copy() const;
    void drop_copy();
    void note_late_read(const keyed_follower& follower, duration period);
    void look_for(const std::vector<std::string>& keys, const std::function<void()>& done);
    void ask_for(const std::vector<std::string>& keys, const std::function<void()>& done);
    void take_offer_reply(const std::optional<std::string>& bytes);
    void begin_reign();
    void start_coordinator(bool state_read);
    void ask_predecessor();
    void end_reign();
    void take_operators(const stored_record& record);
    void pass_listing();
    bool sees_notices() const;
    void note_view();
    void pass_intake();
    void offer_link();
    void forget_job(const job_id& id, const std::function<void()>& done);

    const clock& time_;
    cell_platform& platform_;
    peer_client& peers_;
    cell_settings settings_;
    incarnation_id self_;
    member_place place_;
    std::optional<cell_config> config_;
    absl::flat_hash_set<data_centre_id> evacuated_;
    worker_list listing_;
    cell_state state_;
    keyed_follower operators_;
    keyed_follower workers_;
    keyed_follower intake_;
    keyed_follower progress_;
    reading_role role_;
    local_jobs own_jobs_;
    peer_jobs others_jobs_;
    routed_jobs jobs_;
    question_server questions_;
    intake_writer writer_;
    reign reign_;
    std::unique_ptr<progress_writer> journal_;
    /// While this host coordinates: its way to the workers.
    std::unique_ptr<order_router> orders_;
    /// While this host coordinates: who keeps copies.
    std::unique_ptr<replica_selector> roster_;
    std::unique_ptr<coordinator> coordinator_;
    /// While workers of the reign before are in doubt.
    std::unique_ptr<predecessor_asker> predecessor_;
    /// Of the reign that this host ended last, for a successor that asks later.
    std::optional<ended_reign> ended_;
    relay_server link_server_;
    /// To whom this host offered itself last, and when it does again.
    std::string offered_to_;
    bool offered_leaving_ = false;
    instant next_offer_{};
    /// The reign that `journal_` is for; a reign is prepared once.
    lease_epoch prepared_;
    bool deposed_ = false;
    /// When this host last could coordinate or didn't lead.
    instant useful_at_{};
    /// Leaves the reign to others until then.
    instant aside_until_{};
    /// Told in the log: the view of workers or operators is too old to start anything.
    bool view_is_old_ = false;
    /// Jobs that came in and that the coordinator hasn't been told of.
    std::vector<job_id> held_back_;
    /// Whether `state_` holds, or begins to hold, a copy.
    bool has_state_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
