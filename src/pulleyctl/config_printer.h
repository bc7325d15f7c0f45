#pragma once

#include "libconfig/config.h"
#include "pulleyctl/report.h"

namespace mulberry {

/// Reports the configuration, with the author, version and time of each item's last change. Thread
/// safety: any thread.
Report ConfigReport(const ConfigState& state);

/// Reports the result of publishing a change. Thread safety: any thread.
Report PublishedReport(const PublishReport& published, const std::string& item);

/// Formats an item's last change, such as "version 7 by ana at 2026-05-01 06:30:00Z".
std::string FormatVersion(const ItemVersion& version);

}  // namespace mulberry
