#pragma once

/// Library `routing`: which executor gets a request, who waits and who is refused, what is sent
/// again, and how a non-idempotent request runs at most once. No I/O; every rule takes an instant.

#include "figwinch/routing/claim_key.h"
#include "figwinch/routing/claim_progress.h"
#include "figwinch/routing/claim_vote.h"
#include "figwinch/routing/dispatch_guard.h"
