#pragma once

/// Library `simulation`: a cell's surroundings in simulated time. The platform's store, workers,
/// the ways to both, and an advisor, for tests, benches and experiments; nothing of it runs in a
/// daemon.

#include "figwinch/simulation/sim_advisor.h"
#include "figwinch/simulation/sim_candidate.h"
#include "figwinch/simulation/sim_orders.h"
#include "figwinch/simulation/sim_peers.h"
#include "figwinch/simulation/sim_store.h"
#include "figwinch/simulation/sim_time.h"
#include "figwinch/simulation/sim_worker.h"
