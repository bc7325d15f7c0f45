#include "libworkspace/credentials.h"

#include <algorithm>
#include <cctype>

#include "libbase/base.h"

namespace mulberry::workspace {
namespace {

constexpr std::string_view kScheme = "Bearer";
/// Hash seed of digests, so that they differ from other uses of the hash.
constexpr std::uint64_t kDigestSeed = 0x6b6579;
/// Hexadecimal digits of a digest: enough to tell the keys of a deployment apart, too few to
/// confirm a guessed key.
constexpr int kDigestDigits = 6;

bool IsKeyCharacter(char c) {
  constexpr std::string_view kPunctuation = "-._~+/=";
  return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
         kPunctuation.find(c) != std::string_view::npos;
}

}  // namespace

const char* CredentialsErrorName(CredentialsError error) {
  switch (error) {
    case CredentialsError::kMissing:
      return "key_missing";
    case CredentialsError::kDuplicate:
      return "key_duplicate";
    case CredentialsError::kMalformed:
      return "key_malformed";
    case CredentialsError::kTooLong:
      return "key_too_long";
  }
  return "key_invalid";
}

bool IsWellFormedKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), IsKeyCharacter);
}

Credentials ParseCredentials(const std::vector<std::string_view>& values) {
  if (values.empty()) return CredentialsError::kMissing;
  if (values.size() > 1) return CredentialsError::kDuplicate;
  const std::string_view value = values.front();
  if (value.size() <= kScheme.size() ||
      !EqualsIgnoreCase(value.substr(0, kScheme.size()), kScheme) || value[kScheme.size()] != ' ') {
    return CredentialsError::kMalformed;
  }
  const std::size_t start = value.find_first_not_of(' ', kScheme.size());
  if (start == std::string_view::npos) return CredentialsError::kMalformed;
  const std::string_view key = value.substr(start);
  if (key.size() > kMaxKeyBytes) return CredentialsError::kTooLong;
  if (!IsWellFormedKey(key)) return CredentialsError::kMalformed;
  return key;
}

std::string KeyDigest(std::string_view key) {
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::uint64_t hash = StableHash(key, kDigestSeed);
  std::string digest;
  for (int i = 0; i < kDigestDigits; ++i) {
    digest += kHexDigits[hash & 15U];
    hash >>= 4U;
  }
  return digest;
}

}  // namespace mulberry::workspace
