#pragma once

/// Library `learning`: what tasks really use, and which workers and jobs fail. No I/O.

#include "figwinch/learning/failure_policy.h"
#include "figwinch/learning/size_estimator.h"
