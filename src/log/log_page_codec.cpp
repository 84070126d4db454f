#include "log/log_page_codec.h"

#include "figwinch/base/result_code.h"
#include "platform.pb.h"

namespace figwinch {
namespace {

constexpr std::size_t max_page_bytes = 256UL << 20;

absl::Status not_a_page(std::string_view reason) {
    return make_error(result_code::log_silent, "not a page of the log: " + std::string(reason));
}

} // namespace

absl::StatusOr<log_page> decode_log_page(std::string_view body) {
    pb::LogPage message;
    if (body.size() > max_page_bytes ||
        !message.ParseFromArray(body.data(), static_cast<int>(body.size())))
        return not_a_page("malformed");
    if (message.first_kept() == 0 || message.next() < message.first_kept())
        return not_a_page("bounds");
    log_page page;
    page.first_kept = log_offset(message.first_kept());
    page.next = log_offset(message.next());
    page.records.reserve(static_cast<std::size_t>(message.records_size()));
    for (pb::LogRecord& record : *message.mutable_records()) {
        const log_offset offset(record.offset());
        const bool follows = page.records.empty() || offset == page.records.back().offset.next();
        if (!follows || offset < page.first_kept || offset >= page.next)
            return not_a_page("offsets");
        page.records.push_back({offset, std::move(*record.mutable_payload())});
    }
    return page;
}

std::string encode_log_page(const log_page& page) {
    pb::LogPage message;
    message.set_first_kept(page.first_kept.value());
    message.set_next(page.next.value());
    for (const log_record& record : page.records) {
        pb::LogRecord& entry = *message.add_records();
        entry.set_offset(record.offset.value());
        entry.set_payload(record.payload);
    }
    return message.SerializeAsString();
}

} // namespace figwinch
