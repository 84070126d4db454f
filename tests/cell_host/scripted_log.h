#pragma once

#include "figwinch/cell.h"
#include "platform/store_records.h"

#include <functional>
#include <string>
#include <vector>

namespace figwinch {

/// A log whose stream `followed` holds `records`; reads return what has been added since. The other
/// streams are empty, and appends are never answered.
class scripted_log final : public durable_log {
public:
    explicit scripted_log(cell_stream followed) : followed_(followed) {}

    std::vector<stored_record> records;

    void append(cell_stream, const std::vector<stored_record>&, const append_guard&,
                std::function<void(append_result)>) override {}
    /// Encodes and decodes as the platform's store does.
    void read(cell_stream stream, std::uint64_t from, duration,
              std::function<void(read_result)> done) override {
        if (stream != followed_)
            return done({});
        const std::vector<stored_record> rest(records.begin() + static_cast<std::ptrdiff_t>(from),
                                              records.end());
        std::string body(platform_head_bytes, '\0');
        body[end_offset_at] = static_cast<char>(records.size());
        body += platform::encode_records(platform::record_format::keyed, rest);
        done(*platform::decode_read(platform::record_format::keyed, from, body));
    }
    void read_newest(cell_stream stream, const std::string&,
                     std::function<void(newest_result)> done) override {
        newest_result page;
        if (stream == followed_) {
            page.records = records;
            page.end_offset = records.size();
        }
        done(page);
    }

private:
    static constexpr std::size_t platform_head_bytes = 16;
    static constexpr std::size_t end_offset_at = 7;

    cell_stream followed_;
};

} // namespace figwinch
