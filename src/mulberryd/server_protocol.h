#pragma once

#include "libentry/entry.h"
#include "libtransport/transport.h"

namespace mulberry {

/// Conversion between dispatched requests and the backend servers' HTTP protocol
/// (docs/protocols.md).

/// Makes the HTTP request that sends a dispatched request to a backend server.
HttpRequest MakeServerRequest(SendToServer send);

/// Converts the result of an HTTP exchange with a backend server to the result of the dispatch.
ServerReply ParseServerAnswer(DispatchId dispatch, HttpAnswer answer);

/// Parses the answer of a backend server's load endpoint. A failed, non-200 or malformed answer
/// gives a report with `answered` false.
ProbeReport ParseProbeAnswer(const ServerName& server, const HttpAnswer& answer);

}  // namespace mulberry
