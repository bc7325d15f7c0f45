#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "libworkspace/workspace.h"

namespace mulberry::workspace {
namespace {

std::string KeyOf(const std::string& value) {
  const Credentials parsed = ParseCredentials({value});
  const auto* key = std::get_if<std::string_view>(&parsed);
  return key == nullptr ? "" : std::string(*key);
}

CredentialsError ErrorOf(const std::vector<std::string_view>& values) {
  const Credentials parsed = ParseCredentials(values);
  REQUIRE(std::holds_alternative<CredentialsError>(parsed));
  return std::get<CredentialsError>(parsed);
}

// Guards against callers being refused for a spelling that the protocol allows.
TEST_CASE("the scheme is not case-sensitive and the key is") {
  for (const char* scheme : {"Bearer", "bearer", "BEARER", "bEaReR"}) {
    CHECK(KeyOf(std::string(scheme) + " Ab-9._~+/=") == "Ab-9._~+/=");
  }
  CHECK(KeyOf("Bearer   key") == "key");
}

// Guards against a request that is served under a key that the caller did not send as one.
TEST_CASE("anything but one well-formed key is an error") {
  CHECK(ErrorOf({}) == CredentialsError::kMissing);
  CHECK(ErrorOf({"Bearer a", "Bearer a"}) == CredentialsError::kDuplicate);
  for (const char* value :
       {"", "Bearer", "Bearer ", "Bearer   ", "Bearera", "Bearer\ta", "Basic a", "a", "Bearer a b",
        "Bearer a,b", "Bearer a, Bearer b", "Bearer \"a\"", "Bearer a\x01", "Bearer \xc3\xa9"}) {
    CAPTURE(value);
    CHECK(ErrorOf({value}) == CredentialsError::kMalformed);
  }
  CHECK(KeyOf("Bearer " + std::string(kMaxKeyBytes, 'k')).size() == kMaxKeyBytes);
  const std::string too_long = "Bearer " + std::string(kMaxKeyBytes + 1, 'k');
  CHECK(ErrorOf({too_long}) == CredentialsError::kTooLong);
}

// Guards against a parser that accepts more than its grammar on odd bytes, or reads beyond them.
TEST_CASE("a parsed key is well-formed and part of the header") {
  CHECK(rc::check([](const std::string& bytes, bool prefixed) {
    const std::string value = (prefixed ? "bearer " : "") + bytes;
    const Credentials parsed = ParseCredentials({value});
    const auto* key = std::get_if<std::string_view>(&parsed);
    if (key == nullptr) return;
    RC_ASSERT(IsWellFormedKey(*key));
    RC_ASSERT(value.ends_with(*key));
    RC_ASSERT(key->find(' ') == std::string_view::npos);
    RC_ASSERT(EqualsIgnoreCase(std::string_view(value).substr(0, 7), "bearer "));
  }));
}

// Guards against a well-formed key that is refused.
TEST_CASE("every well-formed key is parsed whole") {
  const auto characters = rc::gen::elementOf(std::string("abzABZ0189-._~+/="));
  CHECK(rc::check([&] {
    std::string key = *rc::gen::nonEmpty(rc::gen::container<std::string>(characters));
    key.resize(std::min(key.size(), kMaxKeyBytes));
    RC_ASSERT(KeyOf("Bearer " + key) == key);
  }));
}

// Guards against keys in log lines.
TEST_CASE("a digest is short and differs between keys") {
  CHECK(KeyDigest("key-1").size() == 6);
  CHECK(KeyDigest("key-1") == KeyDigest("key-1"));
  CHECK(KeyDigest("key-1") != KeyDigest("key-2"));
}

}  // namespace
}  // namespace mulberry::workspace
