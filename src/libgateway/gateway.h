#pragma once

/// Public header of libgateway: an HTTP gateway whose routes and limits come from a metadata store.
#include "libgateway/gateway_node.h"      // IWYU pragma: export
#include "libgateway/gateway_settings.h"  // IWYU pragma: export
#include "libgateway/platform_adapter.h"  // IWYU pragma: export
#include "libgateway/types.h"             // IWYU pragma: export
