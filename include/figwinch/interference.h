#pragma once

/// Library `interference`: finds batch tasks that slow latency-critical work on their host, and
/// throttles, then evicts them. No I/O.

#include "figwinch/interference/interference_controller.h"
