#pragma once

#include "cell_host/intake_writer.h"
#include "figwinch/net.h"

#include <functional>
#include <string>
#include <string_view>

namespace figwinch {

/// Takes other hosts' records while this host writes for the cell. They wait in its own writer,
/// which has one append on its way and gathers what comes meanwhile in the next. Owned by
/// `cell_host`.
class handover_server {
public:
    /// `writes`: whether this host coordinates and its log answers.
    handover_server(const clock& time, intake_writer& writer, std::function<bool()> writes)
        : time_(time), writer_(writer), writes_(std::move(writes)) {}

    void handle(std::string_view body, const std::function<void(std::string)>& reply);

private:
    const clock& time_;
    intake_writer& writer_;
    std::function<bool()> writes_;
};

} // namespace figwinch
