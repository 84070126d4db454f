#include "figwinch/placement/candidate_index.h"

#include <algorithm>

namespace figwinch {
namespace {

// Width of a bucket in thousandths of a core. Lookups rotate among the workers of one bucket.
constexpr std::int64_t class_millis = 250;
// The last bucket holds every worker with about 64 cores (256 * 250 thousandths) or more.
constexpr std::size_t most_classes = 256;

std::size_t class_of(std::int64_t millis) {
    const auto row = static_cast<std::size_t>(std::max<std::int64_t>(0, millis) / class_millis);
    return std::min(row, most_classes - 1);
}

} // namespace

void candidate_index::room_classes::put(worker_slot worker, std::int64_t millis) {
    const std::size_t row = class_of(millis);
    const auto [known, is_new] = places_.try_emplace(worker);
    if (!is_new && known->second.row == row)
        return;
    if (!is_new)
        take_out(known->second);
    if (rows_.size() <= row)
        rows_.resize(row + 1);
    known->second = {row, rows_[row].size()};
    rows_[row].push_back(worker);
}

void candidate_index::room_classes::remove(worker_slot worker) {
    const auto known = places_.find(worker);
    if (known == places_.end())
        return;
    const place from = known->second;
    places_.erase(known);
    take_out(from);
}

void candidate_index::room_classes::take_out(const place& from) {
    std::vector<worker_slot>& row = rows_[from.row];
    const worker_slot last = row.back();
    row[from.at] = last;
    row.pop_back();
    if (from.at < row.size())
        places_[last].at = from.at;
}

std::size_t candidate_index::room_classes::count_from(std::int64_t least) const {
    std::size_t count = 0;
    for (std::size_t row = class_of(least); row < rows_.size(); ++row)
        count += rows_[row].size();
    return count;
}

void candidate_index::room_classes::visit(std::int64_t least, std::uint64_t turn,
                                          const visitor& visit) const {
    const std::size_t lowest = class_of(least);
    for (std::size_t row = rows_.size(); row-- > lowest;) {
        const std::vector<worker_slot>& workers = rows_[row];
        const std::size_t begin = workers.empty() ? 0 : turn % workers.size();
        for (std::size_t step = 0; step < workers.size(); ++step)
            if (!visit(workers[(begin + step) % workers.size()]))
                return;
    }
}

void candidate_index::room_classes::visit_sample(std::int64_t least, std::size_t most,
                                                 std::uint64_t turn, const visitor& visit) const {
    const std::size_t count = count_from(least);
    if (count == 0 || most == 0)
        return;
    const std::size_t stride = (count + most - 1) / most;
    std::size_t next = turn % stride;
    for (std::size_t row = class_of(least); row < rows_.size(); ++row) {
        const std::vector<worker_slot>& workers = rows_[row];
        for (; next < workers.size(); next += stride)
            if (!visit(workers[next]))
                return;
        next -= workers.size();
    }
}

tag_number candidate_index::tag(const std::string& name) {
    return tags_.try_emplace(name, static_cast<tag_number>(tags_.size())).first->second;
}

void candidate_index::put(worker_slot worker, const worker_offer& offer) {
    if (offers_.size() <= worker) {
        offers_.resize(worker + 1);
        listed_.resize(worker + 1);
    }
    worker_offer& known = offers_[worker];
    const bool same_rooms =
        listed_[worker] && known.service == offer.service && known.tags == offer.tags;
    if (listed_[worker] && !same_rooms)
        take_out(worker, known);
    size_ += listed_[worker] ? 0 : 1;
    listed_[worker] = true;
    service_rooms& rooms = services_[offer.service];
    rooms.free.put(worker, offer.free_millis);
    rooms.fill.put(worker, offer.fill_millis);
    for (const tag_number tag : offer.tags)
        rooms.tagged[tag].put(worker, offer.free_millis);
    if (same_rooms) {
        known.free_millis = offer.free_millis;
        known.fill_millis = offer.fill_millis;
    } else {
        known = offer;
    }
}

void candidate_index::remove(worker_slot worker) {
    if (worker >= listed_.size() || !listed_[worker])
        return;
    take_out(worker, offers_[worker]);
    listed_[worker] = false;
    --size_;
}

void candidate_index::take_out(worker_slot worker, const worker_offer& offer) {
    service_rooms& rooms = services_[offer.service];
    rooms.free.remove(worker);
    rooms.fill.remove(worker);
    for (const tag_number tag : offer.tags)
        rooms.tagged[tag].remove(worker);
}

void candidate_index::visit_free(const service_id& service, std::int64_t least, std::uint64_t turn,
                                 const visitor& visit) const {
    if (const auto rooms = services_.find(service); rooms != services_.end())
        rooms->second.free.visit(least, turn, visit);
}

void candidate_index::visit_tagged(const service_id& service, tag_number tag, std::int64_t least,
                                   std::uint64_t turn, const visitor& visit) const {
    const auto rooms = services_.find(service);
    if (rooms == services_.end())
        return;
    if (const auto tagged = rooms->second.tagged.find(tag); tagged != rooms->second.tagged.end())
        tagged->second.visit(least, turn, visit);
}

void candidate_index::visit_fill(const service_id& service, std::int64_t least, std::size_t most,
                                 std::uint64_t turn, const visitor& visit) const {
    if (const auto rooms = services_.find(service); rooms != services_.end())
        rooms->second.fill.visit_sample(least, most, turn, visit);
}

} // namespace figwinch
