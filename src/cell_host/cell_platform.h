#pragma once

#include "cell_host/job_api.h"
#include "figwinch/cell.h"

#include <memory>
#include <optional>
#include <string_view>

namespace figwinch {

/// What a host of a cell needs of its platform: the log, calls to workers, the advisor and the
/// formats of records and requests. One implementation per platform.
class cell_platform {
public:
    virtual ~cell_platform() = default;

    virtual durable_log& log() = 0;
    virtual worker_orders& orders() = 0;
    virtual worker_advisor& advisor() = 0;
    virtual const job_api_codec& job_codec() const = 0;

    /// Decode keys and records of the `operators` and `workers` streams; nullopt, or the reason, if
    /// malformed.
    virtual bool is_config_key(std::string_view key) const = 0;
    virtual std::optional<cell_config> decode_config(std::string_view bytes) const = 0;
    virtual std::optional<data_centre_id> evacuated_by(std::string_view key) const = 0;
    virtual absl::StatusOr<worker_listing> decode_listing(std::string_view id,
                                                          std::string_view bytes) const = 0;
    /// Digest of a worker's entry without the fields that change on every write, such as sequence
    /// numbers: equal digests mean the same listing. nullopt if the platform has no such digest.
    virtual std::optional<std::uint64_t> listing_digest(std::string_view) const { return {}; }

    /// Counts of calls since the process started, for metrics.
    virtual std::uint64_t log_calls() const = 0;
    virtual stream_reads log_reads(cell_stream) const { return {}; }
    virtual std::uint64_t order_calls() const = 0;
};

} // namespace figwinch
