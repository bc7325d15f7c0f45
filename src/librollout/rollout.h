#pragma once

/// Public header of librollout: rollouts of versions of a service, and what limits them.
#include "librollout/order.h"  // IWYU pragma: export
