#include "lease/http_worker_client.h"

#include <utility>

namespace figwinch {
namespace {

/// Lease and task commands of one worker that may be under way at once; more wait for the next
/// tick.
constexpr std::size_t max_connections = 8;

void take_result(const call_result& result, const http_worker_client::callback& done) {
    pb::WorkerReply reply;
    const bool whole = result.outcome == call_outcome::answered && result.response.status == 200 &&
                       reply.ParseFromString(result.response.body);
    if (whole)
        done(std::move(reply));
    else
        done(std::nullopt);
}

} // namespace

http_client* http_worker_client::client_of(const std::string& address) {
    const auto known = clients_.find(address);
    if (known != clients_.end())
        return known->second.get();
    const std::optional<endpoint> where = parse_endpoint(address);
    if (!where)
        return nullptr;
    return clients_.emplace(address, http_client::create(loop_, *where, max_connections))
        .first->second.get();
}

void http_worker_client::send(const std::string& address, const pb::WorkerCommand& command,
                              callback done) {
    http_client* const client = client_of(address);
    if (!client)
        return loop_.post([done = std::move(done)] { done(std::nullopt); });
    http_request request;
    request.method = http_method::post;
    request.path = "/v1/command";
    request.headers.add("Content-Type", "application/x-protobuf");
    request.body = command.SerializeAsString();
    client->call(std::move(request), timeout_, [done = std::move(done)](const call_result& result) {
        take_result(result, done);
    });
}

void http_worker_client::close_idle(duration age) {
    for (const auto& [address, client] : clients_)
        client->close_idle(age);
}

void http_worker_client::keep_only(const std::set<std::string>& addresses) {
    std::erase_if(clients_,
                  [&addresses](const auto& one) { return !addresses.contains(one.first); });
}

} // namespace figwinch
