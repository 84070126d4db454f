#pragma once

/// Library `link`: relays a coordinator's orders to workers through other hosts of its cell, in
/// batches, when there are more workers than one host can call directly. Also selects the cell's
/// read replicas. Does no I/O of its own.

#include "figwinch/link/link_lane.h"
#include "figwinch/link/link_offer.h"
#include "figwinch/link/link_server.h"
#include "figwinch/link/linked_orders.h"
#include "figwinch/link/peer_asker.h"
#include "figwinch/link/peer_message.h"
#include "figwinch/link/reader_list.h"
#include "figwinch/link/reader_roster.h"
