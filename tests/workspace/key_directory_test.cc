#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libworkspace/workspace.h"

namespace mulberry::workspace {
namespace {

Workspace Make(const std::string& name, std::vector<std::string> keys) {
  Workspace workspace;
  workspace.name = WorkspaceName(name);
  workspace.keys = std::move(keys);
  return workspace;
}

// Guards against a request that is charged to another workspace.
TEST_CASE("a key is found in its workspace only, by its exact bytes") {
  const auto directory = KeyDirectory::Build({Make("a", {"k1", "k2"}), Make("b", {"K1"})});
  REQUIRE(directory);
  REQUIRE(directory.value().Find("k2") != nullptr);
  CHECK(directory.value().Find("k2")->name.str() == "a");
  CHECK(directory.value().Find("K1")->name.str() == "b");
  for (const char* key : {"", "k", "k1 ", "K2"}) CHECK(directory.value().Find(key) == nullptr);
  CHECK(KeyDirectory().Find("k1") == nullptr);
}

// Guards against a pointer into a directory that was moved into place.
TEST_CASE("a directory still finds its keys after it was moved") {
  KeyDirectory directory;
  directory = std::move(KeyDirectory::Build({Make("a", {"k1"})}).value());
  CHECK(directory.Find("k1")->name.str() == "a");
}

// Guards against one key with two owners, where hosts could choose differently.
TEST_CASE("a key or a name of two workspaces is an error that does not show the key") {
  const auto same_key = KeyDirectory::Build({Make("a", {"secret"}), Make("b", {"secret"})});
  REQUIRE_FALSE(same_key);
  CHECK(same_key.error().message.find("secret") == std::string::npos);
  CHECK(same_key.error().message.find("a and b") != std::string::npos);
  CHECK_FALSE(KeyDirectory::Build({Make("a", {"k1"}), Make("a", {"k2"})}));
  CHECK(KeyDirectory::Build({Make("a", {"k1", "k1"})}));
}

// Guards against header lines of a configuration's making in requests to servers.
TEST_CASE("a name that cannot be a header's value is an error") {
  for (const char* name : {"", " a", "a\r\nX: 1", "a\n", "\x7f"}) {
    CHECK_FALSE(KeyDirectory::Build({Make(name, {"k1"})}));
  }
  CHECK(KeyDirectory::Build({Make("Caf\xc3\xa9 of A", {"k1"})}));
}

// Guards against an odd key that makes a whole configuration unusable, or is accepted.
TEST_CASE("keys that no request can carry are ignored") {
  const auto directory = KeyDirectory::Build(
      {Make("a", {"", "two words", std::string(kMaxKeyBytes + 1, 'k')}), Make("b", {"", "k"})});
  REQUIRE(directory);
  CHECK(directory.value().keys() == 1);
}

}  // namespace
}  // namespace mulberry::workspace
