#pragma once

/// Library `learning`: estimates task sizes from measured use, and quarantines workers that fail
/// tasks of many jobs. Does no I/O.

#include "figwinch/learning/failure_policy.h"
#include "figwinch/learning/size_estimator.h"
