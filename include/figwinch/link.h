#pragma once

/// Library `link`: relays a coordinator's orders to workers through other hosts of its cell, in
/// batches, when there are more workers than one host can call directly. Also selects the cell's
/// read replicas. Does no I/O of its own.

#include "figwinch/link/order_router.h"
#include "figwinch/link/peer_client.h"
#include "figwinch/link/peer_message.h"
#include "figwinch/link/relay_client.h"
#include "figwinch/link/relay_offer.h"
#include "figwinch/link/relay_server.h"
#include "figwinch/link/replica_list.h"
#include "figwinch/link/replica_selector.h"
