#include "libworkspace/key_directory.h"

#include <algorithm>
#include <set>

#include "libworkspace/credentials.h"

namespace mulberry::workspace {
namespace {

/// True when the name arrives unchanged as the value of a header.
bool IsHeaderValue(const std::string& name) {
  return !name.empty() && Trim(name).size() == name.size() &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f; });
}

}  // namespace

Result<KeyDirectory> KeyDirectory::Build(const std::vector<Workspace>& workspaces) {
  KeyDirectory directory;
  directory.workspaces_ = workspaces;
  std::set<WorkspaceName> names;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    const Workspace& workspace = workspaces[i];
    if (!IsHeaderValue(workspace.name.str())) {
      return Fail(ErrorCode::kInvalidArgument, "a workspace's name cannot be sent in a header");
    }
    if (!names.insert(workspace.name).second) {
      return Fail(ErrorCode::kInvalidArgument, "two workspaces are named " + workspace.name.str());
    }
    for (const std::string& key : workspace.keys) {
      if (!IsWellFormedKey(key)) continue;
      const auto [entry, is_new] = directory.by_key_.emplace(key, i);
      if (is_new || entry->second == i) continue;
      return Fail(ErrorCode::kInvalidArgument, "workspaces " +
                                                   workspaces[entry->second].name.str() + " and " +
                                                   workspace.name.str() + " have the same key");
    }
  }
  return directory;
}

const Workspace* KeyDirectory::Find(std::string_view key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

}  // namespace mulberry::workspace
