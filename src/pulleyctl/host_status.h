#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libbase/base.h"
#include "libfleet/fleet.h"

namespace mulberry {

/// One entry host's answer to /v1/status. `json` is an object; when the host did not answer or the
/// answer is malformed, it is empty and `error` is set.
struct HostStatus {
  std::string name;
  std::string address;
  std::string error;
  nlohmann::json json = nlohmann::json::object();
};

class PlatformSession;

/// Fetches the status of the entry hosts at `addresses`, or of all that the platform lists when
/// `addresses` is empty. Errors: kUnavailable when the host list is needed and can't be read,
/// kNotFound when it is empty.
Result<std::vector<HostStatus>> FetchStatuses(PlatformSession& session,
                                              const std::vector<std::string>& addresses);

/// Return a status field, or an empty value when it is absent or of another type.
std::string TextField(const nlohmann::json& object, const char* name);
std::uint64_t NumberField(const nlohmann::json& object, const char* name);
bool FlagField(const nlohmann::json& object, const char* name);
const nlohmann::json& ListField(const nlohmann::json& object, const char* name);
const nlohmann::json& ObjectField(const nlohmann::json& object, const char* name);

}  // namespace mulberry
