#pragma once

/// Library `routing`: which executor gets a request, who waits and who is refused, what is sent
/// again, and how a non-idempotent request runs at most once. No I/O; every rule takes an instant.

#include "figwinch/routing/admission.h"
#include "figwinch/routing/circuit_breaker.h"
#include "figwinch/routing/claim_key.h"
#include "figwinch/routing/claim_progress.h"
#include "figwinch/routing/claim_vote.h"
#include "figwinch/routing/dispatch_guard.h"
#include "figwinch/routing/executor_answer.h"
#include "figwinch/routing/executor_load.h"
#include "figwinch/routing/executor_pool.h"
#include "figwinch/routing/fair_queue.h"
#include "figwinch/routing/retry_policy.h"
#include "figwinch/routing/waiting_request.h"
