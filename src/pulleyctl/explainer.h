#pragma once

#include <vector>

#include "libconfig/config.h"
#include "libfleet/fleet.h"
#include "pulleyctl/host_status.h"
#include "pulleyctl/report.h"

namespace mulberry {

/// Explains why backend servers and data centres receive requests or not, from the configuration,
/// the platform's host list and the entry hosts' statuses. Not thread safe; the arguments must
/// outlive it.
class Explainer {
 public:
  Explainer(const ConfigState& config, const HostList& list, const std::vector<HostStatus>& hosts)
      : config_(config), list_(list), hosts_(hosts) {}

  /// Errors: kNotFound when the name is in neither the host list, the configuration nor a status.
  Result<Report> Server(const ServerName& name) const;
  Result<Report> DataCentre(const DataCentreName& name) const;
  Report Refusals() const;

 private:
  void AddUnreachableHosts(std::vector<std::string>* findings) const;
  void AddDataCentreConfig(const DataCentreName& name, std::vector<std::string>* findings) const;

  const ConfigState& config_;
  const HostList& list_;
  const std::vector<HostStatus>& hosts_;
};

}  // namespace mulberry
