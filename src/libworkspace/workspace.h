#pragma once

/// Public header of libworkspace: workspaces, their keys and their rate limits.
#include "libworkspace/types.h"  // IWYU pragma: export
