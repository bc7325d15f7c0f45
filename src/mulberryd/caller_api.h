#pragma once

#include <optional>
#include <string>

#include "libentry/entry.h"
#include "libtransport/transport.h"

namespace mulberry {

/// Conversion between the callers' HTTP interface (docs/callers.md) and the types of EntryHost.

/// Returns whether the path addresses a request class (/v1/call/CLASS).
bool IsCallPath(const std::string& path);

/// Converts an HTTP request to a caller request. Errors: kInvalidArgument with a snake_case reason.
/// Precondition: IsCallPath(request.path).
Result<CallerRequest> ParseCallRequest(ServerRequest request, RequestId id);

/// Converts the answer to a caller request to HTTP.
ServerAnswer MakeCallAnswer(CallerAnswer answer, const HostName& host);

/// Converts the result of an address lookup to HTTP.
ServerAnswer MakeAddressesAnswer(const Result<AddressAnswer>& answer, const HostName& host);

/// Makes the answer to a request that is refused before it is processed, such as a malformed one;
/// its outcome is always "not-run".
ServerAnswer MakeRefusalAnswer(int status, const std::string& reason, const HostName& host);

}  // namespace mulberry
