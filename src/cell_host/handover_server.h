#pragma once

#include "cell_host/intake_writer.h"
#include "figwinch/net.h"

#include <functional>
#include <string>
#include <string_view>

namespace figwinch {

/// Appends records that other hosts hand over while this host is the cell's shared writer. They go
/// through this host's `intake_writer`, which has one append in flight and batches what arrives
/// meanwhile into the next. Owned by `cell_host`.
class handover_server {
public:
    /// `is_shared_writer`: whether this host is the shared writer: it coordinates and the log
    /// answers it.
    handover_server(const clock& time, intake_writer& writer,
                    std::function<bool()> is_shared_writer)
        : time_(time), writer_(writer), is_shared_writer_(std::move(is_shared_writer)) {}

    void handle(std::string_view body, const std::function<void(std::string)>& reply);

private:
    const clock& time_;
    intake_writer& writer_;
    std::function<bool()> is_shared_writer_;
};

} // namespace figwinch
