#include "libentry/entry_host.h"

namespace mulberry {
namespace {

nlohmann::json ServerStatus(const ServerState& server) {
  return {{"name", server.name.str()},       {"state", server.state},
          {"reason", server.reason},         {"in_flight", server.in_flight},
          {"limit", server.limit},           {"latency_us", server.latency.count()},
          {"start_id", server.start.value()}};
}

const char* OutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kAnswered:
      return "answered";
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

nlohmann::json RefusalStatusOf(const RefusalRecord& refusal) {
  return {{"at_ms", refusal.at.time_since_epoch().count()},
          {"class", refusal.class_name.str()},
          {"reason", refusal.reason},
          {"outcome", OutcomeName(refusal.outcome)}};
}

}  // namespace

const char* WorkPermissionName(WorkPermission permission) {
  switch (permission) {
    case WorkPermission::kLogRead:
      return "log_read";
    case WorkPermission::kLogDownForAll:
      return "log_down_for_all";
    case WorkPermission::kCutOff:
      return "cut_off";
    case WorkPermission::kNoConfig:
      return "no_config";
  }
  return "no_config";
}

nlohmann::json EntryHost::GroupStatus(GroupKey key, TimePoint now) const {
  const ServiceMap::Group* group = services_.Find(key);
  nlohmann::json status = {{"key", key.value()},
                           {"service", group->name.service.str()},
                           {"data_centre", group->name.data_centre.str()},
                           {"out", group->out},
                           {"owner", leases_.PreferredOwner(key).str()},
                           {"lease", LeasePhaseName(leases_.GetLease(key, now).phase)}};
  const auto local = groups_.groups().find(key);
  if (local == groups_.groups().end()) {
    return status;
  }
  const GroupDispatcher& dispatcher = local->second.dispatcher;
  const DispatcherStats stats = dispatcher.Stats();
  status["closed"] = local->second.closed;
  status["queued"] = stats.queued;
  status["in_flight"] = stats.in_flight;
  status["first_attempts"] = stats.first_attempts;
  status["retries"] = stats.retries;
  status["hedges"] = stats.hedges;
  status["probes"] = stats.probes;
  status["servers"] = nlohmann::json::array();
  for (const ServerState& server : dispatcher.Servers(now)) {
    status["servers"].push_back(ServerStatus(server));
  }
  return status;
}

nlohmann::json EntryHost::Status(Instant now) const {
  nlohmann::json status;
  status["host"] = options_.self.self.host.str();
  status["data_centre"] = options_.self.data_centre.str();
  status["start_id"] = options_.self.self.start.value();
  status["leaving"] = leaving_;
  status["pending"] = router_.pending();
  status["config"] = {{"offset", config().applied.value()},
                      {"digest", config().digest},
                      {"age_ms", ToMilliseconds(now.mono - config_changed_at_)},
                      {"permission", WorkPermissionName(permission_)},
                      {"digest_mismatches", follower_.digest_mismatches()},
                      {"lost_records", follower_.counters().lost_records},
                      {"snapshots_written", follower_.counters().snapshots_written}};
  status["peers"] = nlohmann::json::array();
  for (const DataCentreName& centre : membership_.DataCentres()) {
    for (const HostName& host : membership_.HostsIn(centre, now.mono)) {
      status["peers"].push_back({{"host", host.str()},
                                 {"data_centre", centre.str()},
                                 {"start_id", membership_.IncarnationOf(host).start.value()}});
    }
  }
  status["groups"] = nlohmann::json::array();
  for (const ServiceMap::Group* group : services_.GroupsIn(options_.self.data_centre)) {
    status["groups"].push_back(GroupStatus(group->key, now.mono));
  }
  status["refusals"] = nlohmann::json::array();
  for (const RefusalRecord& refusal : router_.refusals()) {
    status["refusals"].push_back(RefusalStatusOf(refusal));
  }
  return status;
}

}  // namespace mulberry
