#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_entry.h"

#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// The type of a record, encoded as the first letter of its key; the rest of the key is the id.
enum class record_kind : char {
    job = 'j',
    cancellation = 'c',
    progress = 'p',
    ordered_to = 'o',
    worker = 'w',
    slowdowns = 'h'
};

std::string record_key(record_kind kind, std::string_view id);

/// Version of the encoding of keyed records. Not 0: it keeps a record with default values from
/// being empty, which the log would take for a deletion.
inline constexpr std::uint32_t record_format_version = 1;

/// Records are encoded in protobuf (proto/cell.proto), never as no bytes. Decoders return nothing
/// if the bytes can't be parsed, or if a job exceeds the limits of `validate_job`.
std::string encode_job(const job_spec& job);
std::optional<job_spec> decode_job(std::string_view bytes);
std::string encode_progress(const job_progress& progress);
std::optional<job_progress> decode_progress(std::string_view bytes);
std::string encode_worker(const worker_entry& worker);
std::optional<worker_entry> decode_worker(std::string_view bytes);

/// One record of the leader election: the host that claims, renews or resigns the coordinator role,
/// and its address. A resignation may have the orders that the term leaves behind
/// (`encode_outstanding`).
struct election_record {
    enum class kind { claim, renewal, resignation };
    kind type = kind::claim;
    incarnation_id holder;
    std::string bus_address;
    std::string outstanding{};
};

std::string encode_election_record(const election_record& election);
std::optional<election_record> decode_election_record(std::string_view bytes);

} // namespace figwinch
