// Checks a manifest as the pipeline would before it publishes it: prints every fault.

#include "figwinch/config.h"

#include <iostream>

int main() {
    const figwinch::checked_manifest checked = figwinch::parse_manifest(
        R"({"data_centres": [{"name": "lugo-1", "state": "out of order"}], "workres": []})");
    for (const figwinch::manifest_fault& fault : checked.faults)
        std::cout << to_string(fault) << '\n';
    std::cout << (checked.value.has_value() ? "accepted" : "refused") << '\n';
}
