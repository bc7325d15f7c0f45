#pragma once

#include <vector>

#include "pulleyctl/host_status.h"
#include "pulleyctl/report.h"

namespace mulberry {

/// Reports the state of entry hosts: configuration, server groups and servers. Thread safety: any
/// thread.
Report StatusReport(const std::vector<HostStatus>& hosts);

}  // namespace mulberry
