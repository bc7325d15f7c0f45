#pragma once

/// Public header of libgateway: forwarding for callers whose limits and routes come from a store.
#include "libgateway/gateway_node.h"      // IWYU pragma: export
#include "libgateway/gateway_settings.h"  // IWYU pragma: export
#include "libgateway/platform_adapter.h"  // IWYU pragma: export
#include "libgateway/types.h"             // IWYU pragma: export
