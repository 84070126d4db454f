#pragma once

#include "config.pb.h"
#include "figwinch/log.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace figwinch {

/// Reads the `audit` stream to its end; records that stand there twice count once.
class audit_reader {
public:
    explicit audit_reader(log_client& log) : log_(log) {}

    /// Sends the next read when none is open. Returns whether the end was reached.
    bool tick();
    const std::vector<pb::AuditRecord>& records() const { return records_; }
    const absl::Status& last_error() const { return last_error_; }

private:
    void take_page(const absl::StatusOr<log_page>& page);

    log_client& log_;
    log_offset next_{1};
    bool is_open_ = false;
    bool at_end_ = false;
    absl::Status last_error_;
    std::set<std::string> ids_;
    std::vector<pb::AuditRecord> records_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
