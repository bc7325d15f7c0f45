#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "libworkspace/types.h"

namespace mulberry::workspace {

/// Finds the workspace of a key in one configuration. Immutable once built. Thread safety: const
/// methods from any thread.
class KeyDirectory {
 public:
  /// Holds no keys.
  KeyDirectory() = default;

  /// Builds the directory of a configuration's workspaces. Keys that no request can carry are
  /// ignored. Errors: kInvalidArgument when two workspaces have the same name or the same key, or
  /// when a name cannot be a header's value; the message names workspaces, never a key.
  static Result<KeyDirectory> Build(const std::vector<Workspace>& workspaces);

  /// Returns the workspace of the key, null when there is none. Valid as long as the directory.
  const Workspace* Find(std::string_view key) const;

  std::size_t keys() const { return by_key_.size(); }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view key) const {
      return std::hash<std::string_view>()(key);
    }
  };
  std::vector<Workspace> workspaces_;
  /// Index in workspaces_ by key.
  std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>> by_key_;
};

}  // namespace mulberry::workspace
