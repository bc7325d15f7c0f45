#include "pulleyctl/change_draft.h"

#include <fmt/format.h>

#include <cmath>
#include <random>

namespace mulberry {

namespace {

Result<ClassItem> DraftClass(const ChangeCommand& command, const Options& options,
                             const ConfigState& state) {
  const auto known = state.classes.find(ClassName(command.item));
  const bool is_new = known == state.classes.end();
  if (is_new &&
      !(options.service && options.idempotent && options.latency_ms && options.reliability)) {
    return Fail(ErrorCode::kInvalidArgument,
                fmt::format("class {} is new: --service, --idempotent, --latency_ms and "
                            "--reliability must all be given",
                            command.item));
  }
  ClassItem item = is_new ? ClassItem{} : known->second;
  item.name = ClassName(command.item);
  if (options.service) item.service = ServiceName(*options.service);
  if (options.idempotent) item.idempotent = *options.idempotent;
  if (options.reliability) item.reliability_target = *options.reliability;
  if (options.latency_ms) {
    constexpr double kLargestMs = 1e12;
    const bool sane =
        std::isfinite(*options.latency_ms) && std::abs(*options.latency_ms) < kLargestMs;
    item.latency_target = Duration(sane ? std::llround(*options.latency_ms * 1000.0) : -1);
  }
  return item;
}

}  // namespace

ChangeId MakeChangeId() {
  std::random_device random;
  const std::uint64_t number = (std::uint64_t{random()} << 32) | random();
  return ChangeId(fmt::format("c{:016x}", number));
}

Result<Change> DraftChange(const ChangeCommand& command, const Options& options,
                           const ConfigState& state, const ChangeId& id, WallTime now) {
  Change change{id,           options.author, now,
                command.kind, command.item,   Offset(options.base.value_or(0)),
                RemoveItem()};
  const bool leaves = command.verb == ChangeVerb::kLeave;
  switch (command.kind) {
    case ItemKind::kClass:
      if (command.verb == ChangeVerb::kRemove) {
        if (state.classes.count(ClassName(command.item)) != 0) break;
        return Fail(ErrorCode::kNotFound, "there is no class " + command.item);
      } else {
        BOOST_OUTCOME_TRY(item, DraftClass(command, options, state));
        change.value = std::move(item);
      }
      break;
    case ItemKind::kDataCentre:
      change.value = DataCentreItem{DataCentreName(command.item), leaves, {}};
      break;
    case ItemKind::kServer:
      // A server that is not out needs no item, so that servers that came and went leave none.
      if (leaves) change.value = ServerItem{ServerName(command.item), true, {}};
      break;
    case ItemKind::kProbeBudget:
      change.value =
          ProbeBudgetItem{ServiceName(command.item), options.probes_per_second.value_or(0), {}};
      break;
  }
  return change;
}

}  // namespace mulberry
