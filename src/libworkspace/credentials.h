#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberry::workspace {

/// Longest key that is looked up. Longer than those in use, and far below the limit of a head.
constexpr std::size_t kMaxKeyBytes = 256;

/// Why a request carries no usable key.
enum class CredentialsError {
  kMissing,    ///< No header.
  kDuplicate,  ///< Several headers, equal or not.
  kMalformed,  ///< Another scheme, no key, or characters that a key cannot have.
  kTooLong,
};

/// Returns the snake_case name, for logs and metrics.
const char* CredentialsErrorName(CredentialsError error);

/// A well-formed key, within the parsed header, or why there is none.
using Credentials = std::variant<std::string_view, CredentialsError>;

/// Parses the values of all Authorization headers of a request, without surrounding white space:
/// "Bearer KEY" with one or more spaces between. The scheme is not case-sensitive, the key is. A
/// key consists of the characters of an RFC 6750 token. Thread safety: any thread.
Credentials ParseCredentials(const std::vector<std::string_view>& values);

/// True when a key can be sent in the header. Thread safety: any thread.
bool IsWellFormedKey(std::string_view key);

/// A short digest of a key for log lines; the key cannot be derived from it. Thread safety: any
/// thread.
std::string KeyDigest(std::string_view key);

}  // namespace mulberry::workspace
