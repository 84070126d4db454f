#pragma once

#include "figwinch/net/http_client.h"

#include <string>
#include <utility>
#include <vector>

namespace figwinch {

/// Ends every call at once with `next`, and keeps the requests.
class fake_http_client final : public http_client {
public:
    call_result next;
    std::vector<http_request> requests;

    using http_client::call;
    void call(http_request request, const call_bounds& /*bounds*/, callback done) override {
        requests.push_back(std::move(request));
        done(next);
    }
    std::vector<kept_connection> free_connections() override { return {}; }
    void call_over(connection_id /*connection*/, http_request request, const call_bounds& bounds,
                   callback done) override {
        call(std::move(request), bounds, std::move(done));
    }
    std::size_t open_connections() const override { return 0; }
    void close_idle(duration /*age*/) override {}

    void answer(int status, std::string body) {
        next = {call_outcome::answered, {status, {}, std::move(body)}, ""};
    }
    void fail(call_outcome outcome) { next = {outcome, {}, "timeout"}; }
};

} // namespace figwinch
