#pragma once

/// Public header of libentry: the decision logic of one entry host. It does no I/O and reads no
/// clock.
#include "libentry/entry_host.h"      // IWYU pragma: export
#include "libentry/refusal_status.h"  // IWYU pragma: export
#include "libentry/supervisor.h"      // IWYU pragma: export
#include "libentry/types.h"           // IWYU pragma: export
