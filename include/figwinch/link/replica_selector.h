#pragma once

#include "figwinch/link/relay_offer.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Selects which hosts of a cell are read replicas, that is, hold a copy of its jobs: in each data
/// centre the hosts with the most relay capacity. The number is limited because the hosts' total
/// read rate from the log is bounded and each replica takes a share of it. All other hosts forward
/// queries to read replicas. Its input is the offers that hosts send twice a second. Owned by the
/// coordinator's `cell_member` during one leadership term.
class replica_selector {
public:
    /// `coordinator_data_centre`: the coordinator's data centre. It gets one read replica fewer,
    /// since the coordinator holds a copy too; the coordinator is not listed as a replica, to keep
    /// queries off it.
    replica_selector(const clock& time, data_centre_id coordinator_data_centre);

    /// Records a host's offer; returns the host's read mode, and the read replicas if the host
    /// forwards queries and its list is outdated.
    offer_reply apply_offer(const relay_offer& offer);

private:
    struct candidate {
        relay_offer offer;
        instant heard_at{};
        bool chosen = false;
    };
    using candidate_map = std::map<std::string, candidate>;

    void choose_replicas();
    void choose_replicas_in(const data_centre_id& data_centre);
    read_mode mode_of(const candidate& host) const;

    const clock& time_;
    data_centre_id coordinator_data_centre_;
    /// End of the initial wait for offers: before it, offers of some hosts may be missing, and no
    /// host is assigned a mode.
    instant offers_complete_at_;
    instant next_choice_at_{};
    /// Hosts that have sent offers, by bus address.
    candidate_map candidates_;
    replica_list replicas_;
};

} // namespace figwinch
