#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// What --help and --version say of a program.
struct program_info {
    std::string name;
    std::string summary;
    /// Command lines that a newcomer can copy.
    std::vector<std::string> examples;
    /// Environment variables with our prefix that belong to whoever starts the program.
    std::vector<std::string> foreign_variables = {};
};

/// Reads the command line of a program whose settings are Abseil flags. A flag wins over its
/// environment variable (FIGWINCH_ and the flag's name in capitals), which wins over the default.
/// Prints --help or --version and exits 0 where asked; an unknown flag, an unparsable value or an
/// unknown FIGWINCH_* variable is collected as a fault. Owned by `main`.
class settings_reader {
public:
    settings_reader(program_info info, int argc, char** argv);

    /// Arguments that are not flags, without the program's name.
    const std::vector<std::string>& arguments() const { return arguments_; }

    /// Adds a fault for flag `name` unless `good`.
    void require(bool good, std::string_view name, std::string_view value,
                 std::string_view expectation);
    /// Adds a fault unless `low` <= `value` <= `high`; `unit` appears in the fault.
    void require_range(std::string_view name, std::int64_t value, std::int64_t low,
                       std::int64_t high, std::string_view unit);
    /// Adds a fault unless `value` is an IP number and port.
    void require_endpoint(std::string_view name, std::string_view value);

    /// True when nothing is wrong; otherwise prints every fault with number, flag, value, range and
    /// unit to standard error. The program then exits with 2 and has started nothing.
    [[nodiscard]] bool accept() const;

private:
    program_info info_;
    std::vector<std::string> arguments_;
    std::vector<std::string> faults_;
};

} // namespace figwinch
