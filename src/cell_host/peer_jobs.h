#pragma once

#include "cell_host/job_source.h"
#include "cell_host/reading_role.h"
#include "figwinch/link.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figwinch {

/// Asks readers of the cell, those of its own data centre first, one after the other until one can
/// tell. Owned by `cell_member`.
class peer_jobs final : public job_source {
public:
    /// What it works with; all outlive it.
    struct parts {
        const clock& time;
        peer_client& peers;
        reading_role& role;
        data_centre_id data_centre;
    };

    explicit peer_jobs(parts with) : with_(std::move(with)) {}

    void find(const job_id& id, instant end, job_handler done) override;
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override;
    void tick() override {}
    void end_by(instant latest) override { latest_end_ = latest; }

private:
    struct question {
        std::variant<job_id, queue_name> about;
        instant end{};
        /// Takes a reply; tells whether it was an answer.
        std::function<bool(std::string_view)> take;
        std::function<void()> give_up;
        /// Bus addresses, the next one last.
        std::vector<std::string> left;
    };
    using question_ptr = std::shared_ptr<question>;

    void begin(question asked);
    std::vector<std::string> readers_in_turn();
    void ask_next(const question_ptr& asked);
    void take(const question_ptr& asked, const std::string& reader,
              const std::optional<std::string>& reply);

    parts with_;
    instant latest_end_ = instant::max();
    std::size_t turn_ = 0;
    /// Readers that didn't reply, and until when others are asked first.
    absl::flat_hash_map<std::string, instant> absent_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
