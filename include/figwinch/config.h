#pragma once

/// Library `config`: the manifest, its strict check, the fold of changes from the log, and the view
/// that rules consult. No I/O.

#include "figwinch/config/audit_writer.h"
#include "figwinch/config/config_fold.h"
#include "figwinch/config/config_follower.h"
#include "figwinch/config/config_follower_settings.h"
#include "figwinch/config/config_view.h"
#include "figwinch/config/fold_outcome.h"
#include "figwinch/config/manifest.h"
#include "figwinch/config/manifest_codec.h"
#include "figwinch/config/manifest_fault.h"
#include "figwinch/config/peer_offer.h"
#include "figwinch/config/recovery_state.h"
#include "figwinch/config/snapshot_schedule.h"
