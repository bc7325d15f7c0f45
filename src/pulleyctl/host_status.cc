#include "pulleyctl/host_status.h"

#include "pulleyctl/platform_session.h"

namespace mulberry {

namespace {

using Json = nlohmann::json;

const Json* FindField(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

}  // namespace

std::string TextField(const Json& object, const char* name) {
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_string() ? field->get<std::string>() : "";
}

std::uint64_t NumberField(const Json& object, const char* name) {
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
}

bool FlagField(const Json& object, const char* name) {
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

const Json& ListField(const Json& object, const char* name) {
  static const Json empty = Json::array();
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_array() ? *field : empty;
}

const Json& ObjectField(const Json& object, const char* name) {
  static const Json empty = Json::object();
  const Json* field = FindField(object, name);
  return field != nullptr && field->is_object() ? *field : empty;
}

Result<std::vector<HostStatus>> FetchStatuses(PlatformSession& session,
                                              const std::vector<std::string>& addresses) {
  std::vector<HostStatus> hosts;
  hosts.reserve(addresses.size());
  std::vector<std::string> queried_addresses = addresses;
  for (const std::string& address : addresses) hosts.push_back({address, address, "", {}});
  if (addresses.empty()) {
    BOOST_OUTCOME_TRY(list, session.FetchHostList());
    for (const EntryHostEntry& entry : list.entry_hosts) {
      hosts.push_back({entry.name.str(), entry.http_address, "", {}});
      queried_addresses.push_back(entry.http_address);
    }
  }
  if (hosts.empty()) return Fail(ErrorCode::kNotFound, "the platform lists no entry host");
  const std::vector<Result<std::string>> answers = session.FetchStatusBodies(queried_addresses);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].json = Json::object();
    if (!answers[i]) {
      hosts[i].error = answers[i].error().message;
      continue;
    }
    Json json = Json::parse(answers[i].value(), nullptr, false);
    if (!json.is_object()) {
      hosts[i].error = "malformed status";
      continue;
    }
    const std::string name = TextField(json, "host");
    if (!name.empty()) hosts[i].name = name;
    hosts[i].json = std::move(json);
  }
  return hosts;
}

}  // namespace mulberry
