#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mulberry {

/// A string that names one kind of thing; different tags do not convert into each other.
/// Thread safety: as std::string.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}

  /// Returns the name as text.
  const std::string& str() const { return value_; }
  /// True when no name was given.
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StrongString&) const = default;

 private:
  std::string value_;
};

/// An unsigned number that identifies one kind of thing.
/// Thread safety: as std::uint64_t.
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
/// Name of a class of work.
using ClassName = StrongString<struct ClassNameTag>;
/// Name of a backend server, unique in the fleet.
using ServerName = StrongString<struct ServerNameTag>;
/// Identity of one configuration change, chosen by its author; an append is retried under the same
/// id.
using ChangeId = StrongString<struct ChangeIdTag>;
/// Idempotency key of a non-idempotent request.
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// Number of one start of a process; a restarted process has another one. Zero means unknown.
using StartId = StrongNumber<struct StartIdTag>;
/// Number of a request at the entry host that holds it.
using RequestId = StrongNumber<struct RequestIdTag>;
/// Number of one attempt to run a request on a backend server.
using DispatchId = StrongNumber<struct DispatchIdTag>;
/// Position in the platform's log; the first record has offset 1, zero means "nothing read".
using Offset = StrongNumber<struct OffsetTag>;
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
