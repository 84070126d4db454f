#pragma once

#include "tools/experiment/load_spec.h"
#include "tools/experiment/setting_key.h"

#include "figwinch/cell/cell_settings.h"

#include <span>

namespace figwinch::experiment {

/// Every number that can be set, by what it belongs to. Of the cell those that the coordinator goes
/// by; a variant of any other would compare a day with itself.
std::span<const setting_key<cell_settings>> cell_keys();
std::span<const setting_key<load_spec>> load_keys();
std::span<const setting_key<class_load>> class_keys();
std::span<const setting_key<step_load>> step_keys();
std::span<const setting_key<worker_loss>> loss_keys();
std::span<const setting_key<slow_log>> slow_log_keys();

template <class Owner>
const setting_key<Owner>* find_key(std::span<const setting_key<Owner>> keys,
                                   std::string_view name) {
    for (const setting_key<Owner>& key : keys)
        if (key.name == name)
            return &key;
    return nullptr;
}

} // namespace figwinch::experiment
