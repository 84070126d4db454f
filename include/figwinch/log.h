#pragma once

/// Library `log`: the port to the platform's append-only log. The rules of every other library see
/// only `log_client`; another wire format is one new adapter.

#include "figwinch/log/host_list_client.h"
#include "figwinch/log/log_client.h"
#include "figwinch/log/log_evidence.h"
#include "figwinch/log/log_truncation.h"
