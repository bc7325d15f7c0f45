#include "libconfig/item_rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mulberry {

namespace {

constexpr std::size_t kMaxNameChars = 64;
constexpr Duration kMinLatency = std::chrono::milliseconds(1);
constexpr Duration kMaxLatency = std::chrono::seconds(60);
constexpr double kMinReliability = 0.5;
constexpr double kMaxReliability = 0.99999;
constexpr double kMaxProbesPerSecond = 1000.0;
/// End of the year 9999, milliseconds since 1970.
constexpr std::int64_t kMaxWallTimeMs = 253'402'300'799'999;

bool IsNameChar(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; }

bool IsIdChar(char c) { return IsNameChar(c) || (c >= 'A' && c <= 'Z'); }

bool IsChangeId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameChars &&
         std::all_of(text.begin(), text.end(), IsIdChar);
}

bool IsAuthor(const std::string& text) {
  const auto printable = [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte >= 0x20 && byte != 0x7f;
  };
  return !text.empty() && text.size() <= kMaxNameChars &&
         std::all_of(text.begin(), text.end(), printable);
}

std::string NameFault(const char* field, const std::string& name) {
  if (IsItemName(name)) return "";
  return fmt::format("{} = \"{}\": must be 1 to {} characters of a-z, 0-9 and '-'", field, name,
                     kMaxNameChars);
}

std::string ValueFault(const RemoveItem& /*remove*/) { return ""; }

std::string ValueFault(const ClassItem& item) {
  std::string fault = NameFault("service", item.service.str());
  if (!fault.empty()) return fault;
  if (item.latency_target < kMinLatency || item.latency_target > kMaxLatency) {
    return fmt::format("latency_ms = {}: must be {} to {} (milliseconds)",
                       static_cast<double>(item.latency_target.count()) / 1000.0,
                       ToMilliseconds(kMinLatency), ToMilliseconds(kMaxLatency));
  }
  if (std::isfinite(item.reliability_target) && item.reliability_target >= kMinReliability &&
      item.reliability_target <= kMaxReliability) {
    return "";
  }
  return fmt::format("reliability = {}: must be {} to {} (share of requests)",
                     item.reliability_target, kMinReliability, kMaxReliability);
}

std::string ValueFault(const DataCentreItem& /*item*/) { return ""; }

std::string ValueFault(const ServerItem& /*item*/) { return ""; }

std::string ValueFault(const ProbeBudgetItem& item) {
  if (std::isfinite(item.probes_per_second) && item.probes_per_second >= 0 &&
      item.probes_per_second <= kMaxProbesPerSecond) {
    return "";
  }
  return fmt::format("probes_per_second = {}: must be 0 to {} (probes per second)",
                     item.probes_per_second, kMaxProbesPerSecond);
}

}  // namespace

bool IsItemName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameChars &&
         std::all_of(text.begin(), text.end(), IsNameChar);
}

std::size_t MaxItems(ItemKind kind) {
  switch (kind) {
    case ItemKind::kClass:
      return kMaxClasses;
    case ItemKind::kDataCentre:
      return kMaxDataCentres;
    case ItemKind::kServer:
      return kMaxServers;
    case ItemKind::kProbeBudget:
      return kMaxProbeBudgets;
  }
  return 0;
}

std::string ChangeFault(const Change& change) {
  if (!IsChangeId(change.id.str())) {
    return fmt::format("id = \"{}\": must be 1 to {} characters of A-Z, a-z, 0-9 and '-'",
                       change.id.str(), kMaxNameChars);
  }
  if (!IsAuthor(change.author)) {
    return fmt::format("author = \"{}\": must be 1 to {} bytes without control characters",
                       change.author, kMaxNameChars);
  }
  const std::int64_t at_ms = change.at.time_since_epoch().count();
  if (at_ms < 0 || at_ms > kMaxWallTimeMs) {
    return fmt::format("at_ms = {}: must be 0 to {} (milliseconds since 1970)", at_ms,
                       kMaxWallTimeMs);
  }
  std::string fault = NameFault(ItemKindName(change.kind), change.item);
  if (!fault.empty()) return fault;
  const bool removes = std::holds_alternative<RemoveItem>(change.value);
  if (!removes && change.value.index() != static_cast<std::size_t>(change.kind) + 1) {
    return fmt::format("value: must be of kind {}", ItemKindName(change.kind));
  }
  return std::visit([](const auto& value) { return ValueFault(value); }, change.value);
}

}  // namespace mulberry
