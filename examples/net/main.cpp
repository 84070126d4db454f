// Serves one HTTP request and calls it, on one loop.

#include "figwinch/net.h"

#include <iostream>
#include <memory>

int main() {
    figwinch::event_loop loop;
    const auto server = figwinch::http_server::listen(
        loop, "127.0.0.1", 0, {},
        [](const figwinch::http_request& request,
           const std::shared_ptr<figwinch::http_responder>& responder) {
            responder->respond({200, {}, "hello from " + request.path});
        });
    if (!server.ok())
        return 1;

    const auto client = figwinch::http_client::create(loop, {"127.0.0.1", (*server)->port()}, 1);
    figwinch::http_request request;
    request.path = "/greeting";
    client->call(request, std::chrono::seconds(1), [&loop](const figwinch::call_result& result) {
        if (result.outcome == figwinch::call_outcome::answered)
            std::cout << result.response.body << '\n';
        loop.stop();
    });
    loop.run();
}
