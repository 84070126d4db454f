#pragma once

#include "entry/final_answer.h"
#include "figwinch/net.h"
#include "membership/peer_service.h"

#include <functional>

namespace figwinch {

/// Submits, shows, lists and cancels batch jobs through the schedulers of the own data centre.
/// Owned by the daemon.
class job_service {
public:
    using response_handler = std::function<void(http_response)>;

    job_service(peer_service& peers, const clock& time) : peers_(peers), time_(time) {}

    /// Answers one request under /v1/jobs; `id` is empty for the collection. Answers exactly once.
    void handle(const http_request& message, const std::string& id, const response_handler& done);

private:
    using reply_handler = std::function<void(const absl::StatusOr<pb::PeerReply>&)>;

    void submit(const std::string& customer, const std::string& body, const response_handler& done);
    void send_submit(const member& to, const pb::PeerRequest& message, instant deadline,
                     const response_handler& done);
    /// Asks one scheduler after the other; `doubt` is the refusal of those asked so far.
    void find(std::vector<member> schedulers, const pb::PeerRequest& message, instant deadline,
              const response_handler& done, const absl::Status& doubt);
    void list(const std::string& customer, const response_handler& done);
    /// Live schedulers of this data centre, the one that owns `key` first.
    std::vector<member> schedulers_for(const std::string& key) const;

    peer_service& peers_;
    const clock& time_;
};

} // namespace figwinch
