#pragma once

#include "figwinch/log.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch::testing {

/// The jobs stream as the platform keeps it.
class fake_jobs_log {
public:
    bool available = true;

    void append(const std::string& payload, instant now) {
        records_.push_back(payload);
        appended_at_.push_back(now);
    }
    /// Forgets what was appended before `oldest`, as retention does.
    void expire(instant oldest) {
        while (first_ < records_.size() && appended_at_[first_] < oldest)
            ++first_;
    }
    std::size_t size() const { return records_.size(); }
    const std::string& record(std::size_t index) const { return records_[index]; }
    log_offset next() const { return log_offset(records_.size() + 1); }

    log_page read(log_offset from, std::size_t max_records) const {
        log_page page;
        page.first_kept = log_offset(first_ + 1);
        page.next = next();
        std::size_t index = std::max<std::size_t>(from.value() - 1, first_);
        for (; index < records_.size() && page.records.size() < max_records; ++index)
            page.records.push_back({log_offset(index + 1), records_[index]});
        return page;
    }

private:
    std::vector<std::string> records_;
    std::vector<instant> appended_at_;
    std::size_t first_ = 0;
};

} // namespace figwinch::testing
