#pragma once

/// Library `observe`: checked settings from flags and environment variables, JSON-line logs and
/// metrics. Every program of the project starts with it.

#include "figwinch/observe/event_logger.h"
#include "figwinch/observe/metrics.h"
#include "figwinch/observe/settings.h"
