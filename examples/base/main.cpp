// Decides by rendezvous hashing which of three schedulers tries to hold a worker, and prints how a
// refusal looks.

#include "figwinch/base.h"

#include <algorithm>
#include <array>
#include <iostream>

int main() {
    const std::array<figwinch::node_id, 3> schedulers = {
        figwinch::node_id("host-1"), figwinch::node_id("host-2"), figwinch::node_id("host-3")};
    const figwinch::worker_id worker("worker-17");
    const auto chosen =
        std::ranges::max_element(schedulers, {}, [&](const figwinch::node_id& node) {
            return figwinch::rendezvous_weight(node.str(), worker.str());
        });
    std::cout << worker << " is tried by " << *chosen << '\n';

    const absl::Status refusal =
        figwinch::make_error(figwinch::result_code::queue_full, "900 of 900 waiting");
    const figwinch::result_info& row = figwinch::info(figwinch::code_of(refusal));
    std::cout << number(row.code) << ' ' << row.name << ": " << refusal.message() << '\n';
}
