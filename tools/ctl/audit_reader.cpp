#include "ctl/audit_reader.h"

#include "figwinch/base/result_code.h"

namespace figwinch {
namespace {

const stream_name audit_stream("audit");
constexpr std::size_t page_records = 500;

} // namespace

bool audit_reader::tick() {
    if (at_end_ || is_open_)
        return at_end_;
    is_open_ = true;
    log_.read(audit_stream, next_, page_records,
              [this, alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_page>& page) {
                  if (alive.expired())
                      return;
                  is_open_ = false;
                  take_page(page);
              });
    return at_end_;
}

void audit_reader::take_page(const absl::StatusOr<log_page>& page) {
    last_error_ = page.status();
    if (!page.ok()) {
        if (code_of(page.status()) == result_code::log_truncated)
            next_ = first_kept_of(page.status());
        return;
    }
    for (const log_record& record : page->records) {
        next_ = record.offset.next();
        pb::AuditRecord parsed;
        if (parsed.ParseFromString(record.payload) && ids_.insert(parsed.record_id()).second)
            records_.push_back(std::move(parsed));
    }
    at_end_ = next_ >= page->next;
}

} // namespace figwinch
