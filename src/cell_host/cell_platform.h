#pragma once

#include "cell_host/job_front.h"
#include "figwinch/cell.h"

#include <memory>
#include <optional>
#include <string_view>

namespace figwinch {

/// Everything of a platform that a host of a cell works with. One implementation for each platform.
class cell_platform {
public:
    virtual ~cell_platform() = default;

    virtual durable_log& log() = 0;
    virtual worker_orders& orders() = 0;
    virtual worker_advisor& advisor() = 0;
    virtual const job_dialect& dialect() const = 0;

    /// Reads what the streams `operators` and `workers` hold. Nothing on bytes that can't be read.
    virtual bool is_config_key(std::string_view key) const = 0;
    virtual std::optional<cell_config> decode_config(std::string_view bytes) const = 0;
    virtual std::optional<data_centre_id> evacuated_by(std::string_view key) const = 0;
    virtual std::optional<worker_listing> decode_listing(std::string_view id,
                                                         std::string_view bytes) const = 0;
    /// The same for entries of a worker that say the same, whatever counts on in them. Nothing: the
    /// platform can't tell.
    virtual std::optional<std::uint64_t> listing_digest(std::string_view) const { return {}; }

    /// Calls that were made, for metrics.
    virtual std::uint64_t log_calls() const = 0;
    virtual stream_reads log_reads(cell_stream) const { return {}; }
    virtual std::uint64_t order_calls() const = 0;
};

} // namespace figwinch
