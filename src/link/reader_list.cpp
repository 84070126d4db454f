#include "figwinch/link/reader_list.h"

#include <algorithm>
#include <utility>

namespace figwinch {

reader_list::reader_list(std::vector<reader_place> places) : places_(std::move(places)) {
    std::ranges::sort(places_, {}, &reader_place::bus_address);
    std::string text;
    for (const reader_place& place : places_)
        text += place.bus_address + "=" + place.data_centre.str() + "\n";
    digest_ = std::max<std::uint64_t>(1, stable_hash(text));
}

} // namespace figwinch
