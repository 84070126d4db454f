#include "figwinch/observe/settings.h"

#include "figwinch/net/http_client.h"

#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>

namespace figwinch {
namespace {

constexpr std::string_view variable_prefix = "FIGWINCH_";
// Read by the project's scripts; harmless when a program inherits it.
constexpr std::string_view scripts_variable = "FIGWINCH_JOBS";

absl::CommandLineFlag* find_flag(std::string_view name) {
    return absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()));
}

std::string variable_of(std::string_view flag) {
    const std::string name(flag);
    return std::string(variable_prefix) + absl::AsciiStrToUpper(name);
}

std::string numbered(std::string_view text) {
    return "error " + std::to_string(number(result_code::setting_invalid)) + ": " +
           std::string(text);
}

void set_flag(absl::CommandLineFlag& flag, const std::string& value, const std::string& where,
              std::vector<std::string>& faults) {
    std::string error;
    if (flag.ParseFrom(value, &error))
        return;
    std::string fault = where + "=" + value + ": not a value of this flag";
    if (!error.empty())
        fault += " (" + error + ")";
    faults.push_back(numbered(fault));
}

void read_variables(const std::vector<std::string>& others, std::vector<std::string>& faults) {
    for (char** entry = environ; *entry != nullptr; ++entry) {
        const std::string_view text = *entry;
        const auto equals = text.find('=');
        const std::string_view name = text.substr(0, equals);
        if (!name.starts_with(variable_prefix) || name == scripts_variable ||
            std::ranges::count(others, name) > 0)
            continue;
        const std::string flag_name =
            absl::AsciiStrToLower(std::string(name.substr(variable_prefix.size())));
        absl::CommandLineFlag* const flag = find_flag(flag_name);
        if (flag == nullptr) {
            faults.push_back(numbered(std::string(name) + ": no such environment variable"));
            continue;
        }
        set_flag(*flag, std::string(text.substr(equals + 1)), std::string(name), faults);
    }
}

/// The command line, word by word.
class argument_reader {
public:
    argument_reader(int argc, char** argv, std::vector<std::string>& faults)
        : words_(argv + 1, argv + argc), faults_(faults) {}

    std::vector<std::string> read() {
        std::vector<std::string> arguments;
        while (next_ < words_.size()) {
            const std::string word = words_[next_++];
            if (word == "--") {
                arguments.insert(arguments.end(),
                                 words_.begin() + static_cast<std::ptrdiff_t>(next_), words_.end());
                break;
            }
            if (word.starts_with("--"))
                read_flag(word.substr(2));
            else
                arguments.push_back(word);
        }
        return arguments;
    }

private:
    void read_flag(const std::string& text) {
        const auto equals = text.find('=');
        const std::string name = text.substr(0, equals);
        if (equals != std::string::npos) {
            set(name, text.substr(equals + 1));
            return;
        }
        const absl::CommandLineFlag* const flag = find_flag(name);
        if (flag != nullptr && flag->IsOfType<bool>()) {
            set(name, "true");
            return;
        }
        if (flag == nullptr && name.starts_with("no") && is_bool(name.substr(2))) {
            set(name.substr(2), "false");
            return;
        }
        if (flag != nullptr && next_ == words_.size()) {
            faults_.push_back(numbered("--" + name + ": a value is missing"));
            return;
        }
        set(name, flag == nullptr ? "" : words_[next_++]);
    }

    static bool is_bool(const std::string& name) {
        const absl::CommandLineFlag* const flag = find_flag(name);
        return flag != nullptr && flag->IsOfType<bool>();
    }

    void set(const std::string& name, const std::string& value) {
        absl::CommandLineFlag* const flag = find_flag(name);
        if (flag == nullptr) {
            faults_.push_back(numbered("--" + name + ": no such flag"));
            return;
        }
        set_flag(*flag, value, "--" + name, faults_);
    }

    std::vector<std::string> words_;
    std::size_t next_ = 0;
    std::vector<std::string>& faults_;
};

void print_help(const program_info& info) {
    std::cout << info.name << ": " << info.summary << "\n\nExamples:\n";
    for (const std::string& example : info.examples)
        std::cout << "  " << example << '\n';
    std::cout << "\nFlags (each also as an environment variable; a flag wins over its variable):\n";
    std::map<std::string, const absl::CommandLineFlag*> sorted;
    for (const auto& [name, flag] : absl::GetAllFlags())
        sorted.emplace(std::string(name), flag);
    for (const auto& [name, flag] : sorted) {
        std::cout << "  --" << name << "  " << flag->Help() << "\n      default \""
                  << flag->DefaultValue() << "\", variable " << variable_of(name) << '\n';
    }
}

} // namespace

settings_reader::settings_reader(program_info info, int argc, char** argv)
    : info_(std::move(info)) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (std::ranges::find(words, "--help") != words.end()) {
        print_help(info_);
        std::exit(EXIT_SUCCESS);
    }
    if (std::ranges::find(words, "--version") != words.end()) {
        std::cout << info_.name << ' ' << FIGWINCH_VERSION << '\n';
        std::exit(EXIT_SUCCESS);
    }
    read_variables(info_.foreign_variables, faults_);
    arguments_ = argument_reader(argc, argv, faults_).read();
}

void settings_reader::require(bool good, std::string_view name, std::string_view value,
                              std::string_view expectation) {
    if (good)
        return;
    std::string fault = "--" + std::string(name) + "=" + std::string(value) + ": expected ";
    fault += expectation;
    fault += " (or set " + variable_of(name) + ")";
    faults_.push_back(numbered(fault));
}

void settings_reader::require_range(std::string_view name, std::int64_t value, std::int64_t low,
                                    std::int64_t high, std::string_view unit) {
    const std::string expectation =
        std::to_string(low) + " to " + std::to_string(high) + " " + std::string(unit);
    require(low <= value && value <= high, name, std::to_string(value), expectation);
}

void settings_reader::require_endpoint(std::string_view name, std::string_view value) {
    require(parse_endpoint(value).has_value(), name, value,
            "an IP number and a port like 10.0.0.1:7000");
}

bool settings_reader::accept() const {
    for (const std::string& fault : faults_)
        std::cerr << info_.name << ": " << fault << '\n';
    return faults_.empty();
}

} // namespace figwinch
