#include "soak/checks.h"

#include <fmt/format.h>

#include <algorithm>

namespace mulberry::soak {
namespace {

constexpr int kStatusOk = 200;

/// Statuses that promise that the request has not run.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

/// How often each request id was run.
std::map<std::string, int> Runs(Fleet& fleet) {
  std::map<std::string, int> runs;
  for (const auto& backend : fleet.backends()) {
    for (const auto& [id, count] : backend->server->runs()) runs[id] += count;
  }
  return runs;
}

/// Where the request was sent, and how long after the last SIGTERM there.
std::string Where(const Fleet& fleet, const Sent& sent) {
  std::string where = sent.host;
  for (const PlannedStop& stop : fleet.stops()) {
    if (stop.address != sent.host || stop.began > sent.at) continue;
    where =
        fmt::format("{}, {} ms after its SIGTERM", sent.host, ToMilliseconds(sent.at - stop.began));
  }
  return where;
}

}  // namespace

std::vector<std::string> CheckRequests(const Callers& callers, Fleet& fleet) {
  std::vector<std::string> broken;
  const std::map<std::string, int> runs = Runs(fleet);
  for (const auto& [id, count] : runs) {
    if (callers.sent().count(id) == 0) broken.push_back("run without a caller: " + id);
  }
  for (const auto& [id, sent] : callers.sent()) {
    const auto found = runs.find(id);
    const int ran = found == runs.end() ? 0 : found->second;
    if (sent.unsafe && ran > 1) broken.push_back("ran more than once: " + id);
    if (PromisesNotRun(sent.status) && ran > 0) {
      broken.push_back("ran, and was answered " + std::to_string(sent.status) + ": " + id);
    }
    if (sent.status != kStatusOk) continue;
    if (ran == 0) broken.push_back("answered without a run: " + id);
    const bool own = sent.body.ends_with(":" + id) && sent.signature.ends_with("." + id);
    if (!own) broken.push_back("answer of another request: " + id);
  }
  return broken;
}

std::vector<std::string> CheckStopped(const Callers& callers, Fleet& fleet, TimePoint since) {
  std::vector<std::string> broken;
  const std::map<std::string, int> runs = Runs(fleet);
  for (const auto& [id, sent] : callers.sent()) {
    if (sent.at < since || sent.status == kStatusOk || runs.count(id) == 0) continue;
    const std::string end = sent.status == 0 ? "ended without an answer"
                                             : "was answered " + std::to_string(sent.status);
    broken.push_back(fmt::format("ran, and {}: {} sent to {}", end, id, Where(fleet, sent)));
  }
  return broken;
}

double ServedPart(const Callers& callers, TimePoint since, TimePoint until) {
  double all = 0;
  double served = 0;
  for (const auto& [id, sent] : callers.sent()) {
    if (id.front() != 'q' || sent.at < since || sent.at > until) continue;
    ++all;
    if (sent.status == kStatusOk) ++served;
  }
  return all == 0 ? 0 : served / all;
}

}  // namespace mulberry::soak
