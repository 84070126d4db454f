#pragma once

/// Library `config`: the manifest, its strict check, the fold of changes from the log, and the view
/// that rules consult. No I/O.

#include "figwinch/config/config_view.h"
#include "figwinch/config/manifest.h"
