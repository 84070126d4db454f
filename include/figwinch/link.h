#pragma once

/// Library `link`: a coordinator's orders by way of other hosts of its cell, in batches, where the
/// workers are more than one host can call. No I/O of its own.

#include "figwinch/link/link_lane.h"
#include "figwinch/link/link_offer.h"
#include "figwinch/link/link_server.h"
#include "figwinch/link/linked_orders.h"
#include "figwinch/link/peer_asker.h"
#include "figwinch/link/peer_message.h"
#include "figwinch/link/reader_list.h"
#include "figwinch/link/reader_roster.h"
