#pragma once

/// Library `net`: one event loop on one thread, HTTP by evhttp and messages between figwinch's own
/// processes by ZeroMQ. Everything runs on the loop's thread; no call blocks.

#include "figwinch/net/bus.h"
#include "figwinch/net/event_loop.h"
#include "figwinch/net/http_client.h"
#include "figwinch/net/http_message.h"
#include "figwinch/net/http_server.h"
