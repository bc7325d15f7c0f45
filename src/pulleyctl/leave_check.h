#pragma once

#include <string>

#include "libconfig/config.h"
#include "libfleet/fleet.h"

namespace mulberry {

/// Returns why a change that takes a data centre or backend server out of service should not be
/// published: the platform's host list does not contain it, or a service with classes would have no
/// backend server left. Empty when the change is safe. Thread safety: any thread.
std::string LeaveBlockedReason(const ConfigState& state, const HostList& hosts,
                               const Change& change);

}  // namespace mulberry
