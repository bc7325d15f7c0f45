#pragma once

#include <optional>
#include <string_view>

namespace mulberry {

/// Rules of RFC 9110 and RFC 9112 for the head of an HTTP/1.1 message. All readers of messages
/// share them, since the parser libraries are less strict. Any thread may call these functions;
/// they have no preconditions.

/// True for one or more token characters. A space, a control character and any byte above 0x7f are
/// none.
bool IsFieldName(std::string_view text);

/// True if the text, a field value or reason phrase, has no control character other than a tab.
bool IsFieldValue(std::string_view text);

/// Returns the status code of a status line, which is given without its line end; the reason phrase
/// may be missing. Empty unless the version is HTTP/1.x and the status has three digits and lies
/// between 100 and 599. The code 101 is also rejected, since no client here asks for an upgrade.
std::optional<int> ParseStatusLine(std::string_view line);

/// True for the status of an interim response, which precedes the response to a request.
bool IsInterimStatus(int status);

/// True for the status of a response that answers a request: 200 to 599.
bool IsFinalStatus(int status);

/// True for interim responses and 204, which have no body and no header that states a length. A
/// Content-Length of 0 does no harm there.
bool MustNotStateLength(int status);

}  // namespace mulberry
