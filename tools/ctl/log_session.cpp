#include "ctl/log_session.h"

namespace figwinch {
namespace {

constexpr std::size_t connections = 4;
constexpr duration call_timeout = std::chrono::seconds(1);
constexpr duration tick_period = std::chrono::milliseconds(10);

} // namespace

log_session::log_session(const endpoint& log, node_id self)
    : http_(http_client::create(loop_, log, connections)),
      log_(*http_, std::move(self), call_timeout) {}

bool log_session::run(duration limit, const std::function<bool(instant)>& tick) {
    const instant deadline = time_.now() + limit;
    bool is_done = false;
    const auto timer = loop_.every(tick_period, [&] {
        const instant now = time_.now();
        is_done = tick(now);
        if (is_done || now >= deadline)
            loop_.stop();
    });
    loop_.run();
    return is_done;
}

} // namespace figwinch
