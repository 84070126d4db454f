#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_entry.h"

#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// What a key of the cell's streams names: one letter, then the id.
enum class record_kind : char {
    job = 'j',
    cancellation = 'c',
    progress = 'p',
    ordered_to = 'o',
    worker = 'w',
    slowdowns = 'h'
};

std::string record_key(record_kind kind, std::string_view id);

/// Records in protobuf (proto/cell.proto). Decoders return nothing on bytes that they can't read
/// or that break the bounds of `validate_job`.
std::string encode_job(const job_spec& job);
std::optional<job_spec> decode_job(std::string_view bytes);
std::string encode_progress(const job_progress& progress);
std::optional<job_progress> decode_progress(std::string_view bytes);
std::string encode_worker(const worker_entry& worker);
std::optional<worker_entry> decode_worker(std::string_view bytes);

/// One record of the reigns stream.
struct reign_record {
    enum class kind { claim, renewal, resignation };
    kind what = kind::claim;
    incarnation_id holder;
    std::string bus_address;
};

std::string encode_reign(const reign_record& reign);
std::optional<reign_record> decode_reign(std::string_view bytes);

} // namespace figwinch
