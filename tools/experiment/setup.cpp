#include "tools/experiment/setup.h"

#include "tools/experiment/load_file.h"
#include "tools/experiment/setting_tables.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace figwinch::experiment {
namespace {

absl::Status fault(const std::string& change, const std::string& expected) {
    return make_error(result_code::invalid_value, absl::StrCat(change, ": expected ", expected));
}

template <class Owner>
absl::Status assign(const setting_key<Owner>& key, Owner& to, double value,
                    const std::string& change) {
    return key.assign(to, value) ? absl::OkStatus() : fault(change, key.range());
}

absl::Status apply(setup& to, const std::string& change) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(change, absl::MaxSplits('=', 1));
    double value = 0;
    if (!absl::SimpleAtod(parts.second, &value))
        return fault(change, "name=number");
    if (const auto* const key = find_key(cell_keys(), parts.first))
        return assign(*key, to.settings, value, change);
    if (const auto* const key = find_key(load_keys(), parts.first))
        return assign(*key, to.load, value, change);
    return fault(change, "the name of a setting of the cell or of the load");
}

} // namespace

absl::StatusOr<setup> make_setup(std::string name, const load_spec& load,
                                 std::string_view changes) {
    setup made{std::move(name), load, {}};
    for (const std::string& change :
         std::vector<std::string>(absl::StrSplit(std::string(changes), ',', absl::SkipEmpty())))
        if (absl::Status applied = apply(made, change); !applied.ok())
            return applied;
    if (absl::Status checked = check_load(made.load, made.name); !checked.ok())
        return checked;
    return made;
}

} // namespace figwinch::experiment
