#pragma once

/// Public header of libpolicy, which decides on routing, limits and retries without any I/O.
#include "libpolicy/group_dispatcher.h"  // IWYU pragma: export
#include "libpolicy/types.h"             // IWYU pragma: export
