#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mulberry {

/// String identifier of one kind of entity. Identifiers with different tags do not convert into
/// each other. Thread safety: as std::string.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  /// Returns the identifier as text.
  const std::string& str() const { return value_; }
  /// True when the identifier is not set.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongString&) const = default;

 private:
  std::string value_;
};

/// Numeric identifier of one kind of entity. Identifiers with different tags do not convert into
/// each other. Thread safety: as std::uint64_t.
template <class Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t value) : value_(value) {}

  /// Returns the plain number.
  constexpr std::uint64_t value() const { return value_; }

  auto operator<=>(const StrongNumber&) const = default;

 private:
  std::uint64_t value_ = 0;
};

/// Name of an entry host, unique in the fleet.
using HostName = StrongString<struct HostNameTag>;
/// Name of a data centre.
using DataCentreName = StrongString<struct DataCentreNameTag>;
/// Name of a service that backend servers run.
using ServiceName = StrongString<struct ServiceNameTag>;
/// Name of a request class.
using ClassName = StrongString<struct ClassNameTag>;
/// Name of a backend server, unique in the fleet.
using ServerName = StrongString<struct ServerNameTag>;
/// Name of a workspace, a customer whose callers share keys and a rate limit.
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
/// Version of the software that a backend server runs.
using ServerVersion = StrongString<struct ServerVersionTag>;
/// Identifier of one configuration change, chosen by its author. Retries of the append reuse the
/// identifier.
using ChangeId = StrongString<struct ChangeIdTag>;
/// Idempotency key of a non-idempotent request.
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// Identifies one run of a process; a restarted process has a different value. Zero means unknown.
using StartId = StrongNumber<struct StartIdTag>;
/// Number of a request, unique on the entry host that handles it.
using RequestId = StrongNumber<struct RequestIdTag>;
/// Number of one attempt to run a request on a backend server.
using DispatchId = StrongNumber<struct DispatchIdTag>;
/// Position in the platform's log. The first record has offset 1; zero means that no record was
/// read.
using Offset = StrongNumber<struct OffsetTag>;
/// Rises each time the platform's log comes back from a copy, in which the last records are missing
/// and their offsets are given out again. Zero means unknown.
using StoreEra = StrongNumber<struct StoreEraTag>;
/// Hash that identifies a group of backend servers, see GroupName.
using GroupKey = StrongNumber<struct GroupKeyTag>;

}  // namespace mulberry

template <class Tag>
struct std::hash<mulberry::StrongString<Tag>> {
  std::size_t operator()(const mulberry::StrongString<Tag>& id) const {
    return std::hash<std::string>()(id.str());
  }
};

template <class Tag>
struct std::hash<mulberry::StrongNumber<Tag>> {
  std::size_t operator()(const mulberry::StrongNumber<Tag>& id) const {
    return std::hash<std::uint64_t>()(id.value());
  }
};
