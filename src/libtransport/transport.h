#pragma once

/// Public header of libtransport: HTTP client and server, messages between entry hosts, platform
/// client and metrics.
#include "libtransport/http_client.h"      // IWYU pragma: export
#include "libtransport/http_server.h"      // IWYU pragma: export
#include "libtransport/metrics.h"          // IWYU pragma: export
#include "libtransport/peer_socket.h"      // IWYU pragma: export
#include "libtransport/platform_client.h"  // IWYU pragma: export
