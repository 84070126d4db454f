#pragma once

#include "figwinch/link/link_offer.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Selects which hosts of a cell are read replicas, that is, hold a copy of its jobs: in each data
/// centre the hosts with the most relay capacity. The number is limited because the hosts' total
/// read rate from the log is bounded and each replica takes a share of it. All other hosts forward
/// queries to read replicas. Its input is the offers that hosts send twice a second. Owned by the
/// coordinator's `cell_member` during one leadership term.
class reader_roster {
public:
    /// `own`: the coordinator's data centre. It gets one read replica fewer, since the coordinator
    /// holds a copy too; the coordinator is not listed as a replica, to keep queries off it.
    reader_roster(const clock& time, data_centre_id own);

    /// Records a host's offer; returns the host's read mode, and the read replicas if the host
    /// forwards queries and its list is outdated.
    offer_reply take_offer(const link_offer& offer);

private:
    struct heard_host {
        link_offer offer;
        instant at{};
        bool chosen = false;
    };
    using host_map = std::map<std::string, heard_host>;

    void choose();
    void choose_in(const data_centre_id& data_centre);
    reading_part part_of(const heard_host& host) const;

    const clock& time_;
    data_centre_id own_;
    /// End of the initial wait for offers: before it, offers of some hosts may be missing, and no
    /// host is assigned a mode.
    instant all_heard_at_;
    instant next_choice_{};
    /// Hosts that have sent offers, by bus address.
    host_map hosts_;
    reader_list readers_;
};

} // namespace figwinch
