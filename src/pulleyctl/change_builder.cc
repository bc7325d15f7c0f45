#include "pulleyctl/change_builder.h"

#include <fmt/format.h>

#include <cmath>
#include <random>

namespace mulberry {

namespace {

Result<ClassItem> BuildClass(const ChangeCommand& command, const Options& options,
                             const ConfigState& state) {
  const auto existing = state.classes.find(ClassName(command.item));
  const bool is_new = existing == state.classes.end();
  if (is_new &&
      !(options.service && options.idempotent && options.latency_ms && options.reliability)) {
    return Fail(ErrorCode::kInvalidArgument,
                fmt::format("class {} is new: --service, --idempotent, --latency_ms and "
                            "--reliability must all be given",
                            command.item));
  }
  ClassItem item = is_new ? ClassItem{} : existing->second;
  item.name = ClassName(command.item);
  if (options.service) item.service = ServiceName(*options.service);
  if (options.idempotent) item.idempotent = *options.idempotent;
  if (options.reliability) item.reliability_target = *options.reliability;
  if (options.latency_ms) {
    constexpr double kMaxLatencyMs = 1e12;
    const bool in_range =
        std::isfinite(*options.latency_ms) && std::abs(*options.latency_ms) < kMaxLatencyMs;
    item.latency_target = Duration(in_range ? std::llround(*options.latency_ms * 1000.0) : -1);
  }
  return item;
}

}  // namespace

ChangeId GenerateChangeId() {
  std::random_device random;
  const std::uint64_t number = (std::uint64_t{random()} << 32) | random();
  return ChangeId(fmt::format("c{:016x}", number));
}

Result<Change> BuildChange(const ChangeCommand& command, const Options& options,
                           const ConfigState& state, const ChangeId& id, WallTime now) {
  Change change{id,           options.author, now,
                command.kind, command.item,   Offset(options.base.value_or(0)),
                RemoveItem()};
  const bool is_out = command.verb == ChangeVerb::kLeave;
  switch (command.kind) {
    case ItemKind::kClass:
      if (command.verb == ChangeVerb::kRemove) {
        if (state.classes.count(ClassName(command.item)) != 0) break;
        return Fail(ErrorCode::kNotFound, "there is no class " + command.item);
      } else {
        BOOST_OUTCOME_TRY(item, BuildClass(command, options, state));
        change.value = std::move(item);
      }
      break;
    case ItemKind::kDataCentre:
      change.value = DataCentreItem{DataCentreName(command.item), is_out, {}};
      break;
    case ItemKind::kServer:
      // Only servers taken out of service have an item; returning a server removes its item, so
      // that items of servers that no longer exist do not accumulate.
      if (is_out) change.value = ServerItem{ServerName(command.item), true, {}};
      break;
    case ItemKind::kProbeBudget:
      change.value =
          ProbeBudgetItem{ServiceName(command.item), options.probes_per_second.value_or(0), {}};
      break;
  }
  return change;
}

}  // namespace mulberry
