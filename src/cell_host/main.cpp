// figwinch-cell: one host of a cell, on the platform that platform/ speaks to.

#include "cell_host/cell_host.h"
#include "platform/http_platform.h"
#include "platform/names.h"

#include <csignal>
#include <iostream>
#include <random>

int main(int argc, char** argv) {
    using namespace figwinch;
    settings_reader reader({"figwinch-cell",
                            "takes callers' jobs on one host of a cell and coordinates the cell's "
                            "workers while it is elected.",
                            {"figwinch-cell --node=host-1 --data_centre=lugo-1 "
                             "--log=127.0.0.1:7100"},
                            {std::string(platform::names::settings_variable)}},
                           argc, argv);
    check_cell_flags(reader);
    if (!reader.accept())
        return 2;
    const cell_host_settings settings = read_cell_flags();
    start_logging("figwinch-cell", settings.node, settings.level);
    event_loop loop;
    const incarnation_id self(settings.node + "#" + std::to_string(std::random_device{}()));
    platform::http_platform platform(loop, settings.log, settings.advisor);
    cell_host host(loop, platform, settings, self);
    if (const absl::Status listening = host.listen(); !listening.ok()) {
        std::cerr << listening.message() << '\n';
        return 2;
    }
    log_event(log_level::info, "listening",
              {{"callers", to_string(settings.callers)}, {"incarnation", self.str()}});
    const auto on_term = loop.on_signal(SIGTERM, [&host] { host.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&host] { host.stop(); });
    // Settings are flags: what changes while the process runs comes through the log.
    const auto on_hangup =
        loop.on_signal(SIGHUP, [] { log_event(log_level::info, "settings_unchanged", {}); });
    loop.run();
    log_event(log_level::info, "stopped", {});
    return 0;
}
