#pragma once

#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/fleet.h"

namespace mulberry::soak {

/// Returns the broken promises about single requests, in words: what ran more than once, what ran
/// although its refusal said that it had not, answers of another request, requests nobody sent.
std::vector<std::string> CheckRequests(const Callers& callers, Fleet& fleet);

/// Returns, in words, the requests sent from `since` that a backend server has run and whose
/// callers did not get its answer. Precondition: since then, planned stops are the only faults.
std::vector<std::string> CheckStopped(const Callers& callers, Fleet& fleet, TimePoint since);

/// Returns the part of the requests sent from `since` to `until` that were served.
double ServedPart(const Callers& callers, TimePoint since, TimePoint until);

}  // namespace mulberry::soak
