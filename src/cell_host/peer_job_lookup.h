#pragma once

#include "cell_host/job_lookup.h"
#include "cell_host/replica_role.h"
#include "figwinch/link.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figwinch {

/// Looks up jobs on other hosts' read replicas, those in its own data centre first, one after the
/// other until one has the answer. Owned by `cell_member`.
class peer_job_lookup final : public job_lookup {
public:
    /// Dependencies, which must outlive this object.
    struct dependencies {
        const clock& time;
        peer_client& peers;
        replica_role& role;
        data_centre_id data_centre;
    };

    explicit peer_job_lookup(dependencies deps) : deps_(std::move(deps)) {}

    void find(const job_id& id, instant end, job_handler done) override;
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override;
    void tick() override {}
    void cap_deadlines(instant latest) override { latest_deadline_ = latest; }

private:
    struct query {
        std::variant<job_id, queue_name> about;
        instant end{};
        /// Handles a reply; returns whether it answers the query.
        std::function<bool(std::string_view)> handle_reply;
        std::function<void()> give_up;
        /// Bus addresses of the replicas still to be asked, the next one last.
        std::vector<std::string> replicas_left;
    };
    using query_ptr = std::shared_ptr<query>;

    void begin(query asked);
    std::vector<std::string> replicas_to_ask();
    void ask_next(const query_ptr& asked);
    void handle_reply(const query_ptr& asked, const std::string& reader,
                      const std::optional<std::string>& reply);

    dependencies deps_;
    instant latest_deadline_ = instant::max();
    std::size_t turn_ = 0;
    /// Replicas that didn't reply, by bus address, and until when the others are asked first.
    absl::flat_hash_map<std::string, instant> unresponsive_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
