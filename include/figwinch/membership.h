#pragma once

/// Library `membership`: which of figwinch's own processes and which back ends are there, from
/// settings, the platform's lagging host list and what this process sees for itself.

#include "figwinch/membership/host_observations.h"
#include "figwinch/membership/member.h"
#include "figwinch/membership/member_table.h"
#include "figwinch/membership/membership_limits.h"
