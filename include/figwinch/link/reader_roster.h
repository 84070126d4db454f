#pragma once

#include "figwinch/link/link_offer.h"

#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Chooses which hosts of a cell keep a copy of its jobs: of each data centre those that carry
/// most. What all hosts read of the log together is bounded, and each reader takes its share of it.
/// The others ask readers. Fed by the offers that hosts send twice a second. Owned by the
/// coordinator's `cell_member` during one reign.
class reader_roster {
public:
    /// `own`: the coordinator's data centre. It has a copy itself, but has other things to do than
    /// to answer questions.
    reader_roster(const clock& time, data_centre_id own);

    /// Takes a host's offer; returns its part, and the readers where it doesn't know them.
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
    /// Before this moment not all hosts have been heard.
    instant all_heard_at_;
    instant next_choice_{};
    /// By bus address.
    host_map hosts_;
    reader_list readers_;
};

} // namespace figwinch
