#pragma once

/// Library `base`: identifiers, units, clocks and numbered result codes shared by every other
/// library. It does no I/O and depends only on the standard library and Abseil.

#include "figwinch/base/clock.h"
#include "figwinch/base/ids.h"
#include "figwinch/base/resources.h"
#include "figwinch/base/result_code.h"
#include "figwinch/base/stable_hash.h"
