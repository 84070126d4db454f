#pragma once

/// Library `lease`: leases on workers as their holder sees them: who tries, what a holder may do
/// and what it has committed. No I/O; the port to a worker is proto/worker.proto.

#include "figwinch/lease/lease_settings.h"
#include "figwinch/lease/leased_worker.h"
#include "figwinch/lease/worker_command.h"
#include "figwinch/lease/worker_lease_listener.h"
#include "figwinch/lease/worker_lease_table.h"
