#include "standin_platform/standin_log.h"

namespace figwinch {
namespace {

constexpr std::size_t max_page_bytes = 8UL << 20;

} // namespace

void standin_log::keep(std::size_t records) {
    kept_ = records;
    for (auto& [name, state] : streams_)
        expire(state);
}

log_offset standin_log::append(const stream_name& stream, std::string payload) {
    stream_state& state = streams_[stream];
    const log_offset offset(state.next++);
    state.payloads.push_back(std::move(payload));
    ++appends_[stream];
    expire(state);
    return offset;
}

log_page standin_log::read(const stream_name& stream, log_offset from,
                           std::size_t max_records) const {
    static const stream_state empty;
    const auto found = streams_.find(stream);
    const stream_state& state = found == streams_.end() ? empty : found->second;
    log_page page;
    page.next = log_offset(state.next);
    page.first_kept = log_offset(state.next - state.payloads.size());
    if (from < page.first_kept)
        return page;
    std::size_t bytes = 0;
    for (std::uint64_t offset = from.value(); offset < state.next; ++offset) {
        const std::string& payload = state.payloads[offset - page.first_kept.value()];
        bytes += payload.size();
        const bool is_full = page.records.size() >= max_records || bytes > max_page_bytes;
        if (is_full && !page.records.empty())
            break;
        page.records.push_back({log_offset(offset), payload});
    }
    return page;
}

void standin_log::expire(stream_state& state) const {
    while (state.payloads.size() > kept_)
        state.payloads.pop_front();
}

} // namespace figwinch
