#pragma once

#include "figwinch/base.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace figwinch {

enum class host_kind { executor, worker, entry };

/// One host as the platform lists it, some seconds late.
struct host_entry {
    std::string name;
    /// IP number and port.
    std::string address;
    data_centre_id data_centre;
    host_kind kind = host_kind::worker;
    bool is_leaving = false;
    friend bool operator==(const host_entry&, const host_entry&) = default;
};

/// The platform's lagging list of live and leaving hosts. Calls never block; each calls back
/// exactly once: within its timeout, or while its answer keeps coming. Errors: `peer_unreachable`
/// when there is no usable answer.
class host_list_client {
public:
    using callback = std::function<void(absl::StatusOr<std::vector<host_entry>>)>;

    virtual ~host_list_client() = default;
    virtual void fetch(callback done) = 0;
};

} // namespace figwinch
