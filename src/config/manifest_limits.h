#pragma once

#include <cstddef>
#include <cstdint>

namespace figwinch {

/// Bounds on values of the manifest. A value in the wrong unit (bytes for MiB, seconds for
/// milliseconds in the other direction) mostly falls outside of them.
inline constexpr std::size_t max_name_length = 128;
inline constexpr std::int64_t max_cpu_millis = 10'000'000;
inline constexpr std::int64_t max_memory_mib = 67'108'864;
inline constexpr std::int64_t max_accelerators = 1024;
/// A quota may be as large as this many of the largest workers.
inline constexpr std::int64_t max_quota_hosts = 1'000'000;
inline constexpr std::int64_t max_slots = 1024;
inline constexpr std::int64_t max_connections = 65'536;
inline constexpr std::int64_t max_deadline_ms = 3'600'000;
inline constexpr std::int64_t max_latency_target_ms = 600'000;
inline constexpr std::int64_t max_share = 1000;
inline constexpr std::int64_t max_queued_jobs_limit = 1'000'000;
inline constexpr std::int64_t max_tasks = 100'000;
inline constexpr std::int64_t max_work_ms = 31LL * 24 * 3600 * 1000;
inline constexpr std::int64_t max_attempts_limit = 100;

} // namespace figwinch
