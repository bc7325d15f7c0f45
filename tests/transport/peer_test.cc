#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <zmq.hpp>

#include "loopback.h"

namespace mulberry {

namespace {

using std::chrono::milliseconds;

std::string AnyText() { return *rc::gen::arbitrary<std::string>(); }
std::uint64_t AnyNumber() { return *rc::gen::arbitrary<std::uint64_t>(); }
bool AnyFlag() { return *rc::gen::arbitrary<bool>(); }
Duration AnyDuration() { return Duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)); }
WallTime AnyWallTime() {
  return WallTime(milliseconds(*rc::gen::inRange<std::int64_t>(0, 9'000'000'000'000)));
}
template <class T>
T AnyOf(int count) {
  return static_cast<T>(*rc::gen::inRange(0, count));
}
template <class T, class Make>
std::vector<T> AnyList(Make make) {
  std::vector<T> list(*rc::gen::inRange<std::size_t>(0, 5));
  for (T& item : list) item = make();
  return list;
}
Duration AnyAge() { return AnyFlag() ? Duration::max() : AnyDuration(); }
GroupKey AnyGroup() { return GroupKey(AnyNumber()); }
DataCentreName AnyDataCentre() { return DataCentreName(AnyText()); }
ConfigMark AnyConfigMark() { return {Offset(AnyNumber()), AnyNumber()}; }
Incarnation AnyIncarnation() { return {HostName("h" + AnyText()), StartId(AnyNumber())}; }

/// Returns a message of the given kind with random values in every field.
PeerMessage AnyMessage(int kind) {
  const auto grant = [] { return LeaseGrant{AnyGroup(), AnyFlag(), AnyDuration(), AnyFlag()}; };
  const auto known_server = [] {
    return KnownServer{ServerName(AnyText()), StartId(AnyNumber()), AnyFlag(),
                       *rc::gen::arbitrary<std::uint32_t>(), AnyDuration()};
  };
  const auto record = [] { return LogRecord{Offset(AnyNumber()), AnyText()}; };
  switch (kind) {
    case 0:
      return Heartbeat{AnyNumber(),
                       AnyDataCentre(),
                       AnyFlag(),
                       AnyConfigMark(),
                       AnyAge(),
                       AnyList<DataCentreName>(AnyDataCentre),
                       AnyList<GroupKey>(AnyGroup)};
    case 1:
      return HeartbeatAck{AnyNumber(),
                          AnyConfigMark(),
                          AnyFlag(),
                          AnyAge(),
                          AnyList<DataCentreName>(AnyDataCentre),
                          AnyList<LeaseGrant>(grant)};
    case 2:
      return LeaseRelease{AnyList<GroupKey>(AnyGroup)};
    case 3:
      return ForwardRequest{.id = RequestId(AnyNumber()),
                            .class_name = ClassName(AnyText()),
                            .data_centre = AnyDataCentre(),
                            .method = AnyText(),
                            .path = AnyText(),
                            .content_type = AnyText(),
                            .body = AnyText(),
                            .time_left = AnyDuration(),
                            .deadline = AnyWallTime(),
                            .depth = *rc::gen::arbitrary<std::uint32_t>(),
                            .no_retry = AnyFlag(),
                            .key = IdempotencyKey(AnyText()),
                            .ticket = AnyText(),
                            .claimed = AnyFlag(),
                            .last_resort = AnyFlag()};
    case 4:
      return ForwardAnswer{.id = RequestId(AnyNumber()),
                           .outcome = AnyOf<RunOutcome>(3),
                           .status = *rc::gen::arbitrary<std::uint32_t>(),
                           .reason = AnyText(),
                           .saturated = AnyFlag(),
                           .not_owner = AnyFlag(),
                           .no_retry = AnyFlag(),
                           .content_type = AnyText(),
                           .body = AnyText(),
                           .server = AnyText()};
    case 5:
      return ForwardCancel{RequestId(AnyNumber())};
    case 6:
      return ClaimRequest{IdempotencyKey(AnyText()), AnyNumber(), AnyNumber(), StartId(AnyNumber()),
                          AnyWallTime()};
    case 7:
      return ClaimAnswer{IdempotencyKey(AnyText()), AnyNumber(), AnyOf<ClaimVerdict>(6),
                         AnyIncarnation()};
    case 8:
      return ClaimRelease{IdempotencyKey(AnyText()), AnyNumber()};
    case 9:
      return OutcomeQuery{IdempotencyKey(AnyText()), StartId(AnyNumber()), RequestId(AnyNumber()),
                          AnyDuration()};
    case 10:
      return OutcomeAnswer{IdempotencyKey(AnyText()),
                           RequestId(AnyNumber()),
                           AnyOf<RunOutcome>(3),
                           *rc::gen::arbitrary<std::uint32_t>(),
                           AnyText(),
                           AnyText()};
    case 11:
      return ConfigFetch{Offset(AnyNumber())};
    case 12:
      return ConfigContent{AnyList<LogRecord>(record), AnyText()};
    default:
      return GroupKnowledge{GroupKey(AnyNumber()), AnyList<KnownServer>(known_server)};
  }
}

}  // namespace

// The fields of each message. The structured bindings fail to compile when a message gets a new
// field, so that no field is left out of the comparison.
static auto Fields(const LeaseGrant& m) {
  const auto& [a, b, c, d] = m;
  return std::tie(a, b, c, d);
}
static auto Fields(const KnownServer& m) {
  const auto& [a, b, c, d, e] = m;
  return std::tie(a, b, c, d, e);
}
static auto Fields(const GroupKnowledge& m) {
  const auto& [a, b] = m;
  return std::tie(a, b);
}
static auto Fields(const LogRecord& m) { return std::tie(m.offset, m.data); }
static auto Fields(const Heartbeat& m) {
  const auto& [a, b, c, d, e, f, g] = m;
  return std::tie(a, b, c, d, e, f, g);
}
static auto Fields(const HeartbeatAck& m) {
  const auto& [a, b, c, d, e, f] = m;
  return std::tie(a, b, c, d, e, f);
}
static auto Fields(const LeaseRelease& m) {
  const auto& [a] = m;
  return std::tie(a);
}
static auto Fields(const ForwardRequest& m) {
  const auto& [a, b, c, d, e, f, g, h, i, j, k, l, n, o, p] = m;
  return std::tie(a, b, c, d, e, f, g, h, i, j, k, l, n, o, p);
}
static auto Fields(const ForwardAnswer& m) {
  const auto& [a, b, c, d, e, f, g, h, i, j] = m;
  return std::tie(a, b, c, d, e, f, g, h, i, j);
}
static auto Fields(const ForwardCancel& m) {
  const auto& [a] = m;
  return std::tie(a);
}
static auto Fields(const ClaimRequest& m) {
  const auto& [a, b, c, d, e] = m;
  return std::tie(a, b, c, d, e);
}
static auto Fields(const ClaimAnswer& m) {
  const auto& [a, b, c, d] = m;
  return std::tie(a, b, c, d);
}
static auto Fields(const ClaimRelease& m) {
  const auto& [a, b] = m;
  return std::tie(a, b);
}
static auto Fields(const OutcomeQuery& m) {
  const auto& [a, b, c, d] = m;
  return std::tie(a, b, c, d);
}
static auto Fields(const OutcomeAnswer& m) {
  const auto& [a, b, c, d, e, f] = m;
  return std::tie(a, b, c, d, e, f);
}
static auto Fields(const ConfigFetch& m) {
  const auto& [a] = m;
  return std::tie(a);
}
static auto Fields(const ConfigContent& m) {
  const auto& [a, b] = m;
  return std::tie(a, b);
}

template <class Message>
requires requires(const Message& message) { Fields(message); }
static bool operator==(const Message& left, const Message& right) {
  return Fields(left) == Fields(right);
}

namespace {

constexpr int kMessageKinds = static_cast<int>(std::variant_size_v<PeerMessage>);

Incarnation SenderIncarnation() { return {HostName("self"), StartId(1)}; }

ForwardRequest MakeForwardRequest(std::uint64_t id, std::string body = "") {
  ForwardRequest request;
  request.id = RequestId(id);
  request.body = std::move(body);
  return request;
}

/// A bound socket that stores the messages it receives.
struct Receiver {
  explicit Receiver(asio::io_context& io, const std::string& address = "127.0.0.1:0")
      : socket(io, {HostName("receiver"), StartId(2)},
               [this](PeerEnvelope envelope) { received.push_back(std::move(envelope)); }) {
    REQUIRE(socket.Bind(address));
  }
  std::vector<PeerEnvelope> received;
  PeerSocket socket;
};

}  // namespace

TEST_CASE("every message survives encoding and decoding unchanged") {
  for (int kind = 0; kind < kMessageKinds; ++kind) {
    CHECK(rc::check("round trip of kind " + std::to_string(kind), [kind] {
      const PeerEnvelope envelope{AnyIncarnation(), AnyMessage(kind)};
      RC_ASSERT(envelope.message.index() == static_cast<std::size_t>(kind));
      const Result<PeerEnvelope> decoded = DecodePeerMessage(EncodePeerMessage(envelope).value());
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded.value().from == envelope.from);
      RC_ASSERT(decoded.value().message == envelope.message);
    }));
  }
}

TEST_CASE("damaged bytes decode to kCorrupt or another valid message, never a crash") {
  CHECK(rc::check("mutated", [] {
    std::string bytes =
        EncodePeerMessage({AnyIncarnation(), AnyMessage(*rc::gen::inRange(0, kMessageKinds))})
            .value();
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(1, bytes.size() + 1));
    const Result<PeerEnvelope> decoded = DecodePeerMessage(bytes);
    if (!decoded) RC_ASSERT(decoded.error().code == ErrorCode::kCorrupt);
    if (decoded) RC_ASSERT(EncodePeerMessage(decoded.value()).has_value());
  }));
  CHECK(rc::check("random", [](const std::string& bytes) {
    const Result<PeerEnvelope> decoded = DecodePeerMessage(bytes);
    RC_ASSERT(decoded.has_value() || decoded.error().code == ErrorCode::kCorrupt);
  }));
}

TEST_CASE("values out of range, missing parts and sizes over the limit are rejected") {
  const auto corrupt = [](const PeerMessage& message,
                          const Incarnation& from = SenderIncarnation()) {
    const Result<PeerEnvelope> decoded =
        DecodePeerMessage(EncodePeerMessage(from, message).value());
    return !decoded && decoded.error().code == ErrorCode::kCorrupt;
  };
  OutcomeQuery query;
  query.time_left = Duration(-1);
  CHECK(corrupt(query));
  query.time_left = Duration::max();
  CHECK(corrupt(query));
  ClaimRequest claim;
  claim.expires = WallTime::max();
  CHECK(corrupt(claim));
  ForwardAnswer answer;
  answer.outcome = static_cast<RunOutcome>(77);
  CHECK(corrupt(answer));
  ClaimAnswer verdict;
  verdict.verdict = static_cast<ClaimVerdict>(77);
  CHECK(corrupt(verdict));
  CHECK(corrupt(ForwardCancel{}, Incarnation{}));
  CHECK(!DecodePeerMessage(""));
  CHECK(!DecodePeerMessage(std::string("\x0a\x03\x0a\x01h", 5)));
  const PeerMessage large = MakeForwardRequest(1, std::string(kMaxPeerMessageBytes, 'x'));
  CHECK(EncodePeerMessage(SenderIncarnation(), large).error().code == ErrorCode::kTooLarge);
}

TEST_CASE("messages arrive complete and in order") {
  asio::io_context io;
  Receiver receiver(io);
  PeerSocket sender(io, SenderIncarnation(), [](const PeerEnvelope&) {});
  const std::string address = receiver.socket.bound_address();
  constexpr std::uint64_t kCount = 200;
  for (std::uint64_t i = 0; i < kCount; ++i) CHECK(sender.Send(address, MakeForwardRequest(i)));
  const std::string body(kMaxPeerMessageBytes - 1000, '\xfe');
  CHECK(sender.Send(address, MakeForwardRequest(kCount, body)));
  REQUIRE(RunUntil(io, [&] { return receiver.received.size() == kCount + 1; }));
  for (std::uint64_t i = 0; i <= kCount; ++i) {
    CHECK(receiver.received[i].from == SenderIncarnation());
    CHECK(std::get<ForwardRequest>(receiver.received[i].message).id == RequestId(i));
  }
  CHECK(std::get<ForwardRequest>(receiver.received.back().message).body == body);
  CHECK(sender.counters().sent == kCount + 1);
  CHECK(receiver.socket.counters().received_bytes == sender.counters().sent_bytes);

  const PeerMessage large = MakeForwardRequest(1, std::string(kMaxPeerMessageBytes, 'x'));
  CHECK(sender.Send(address, large).error().code == ErrorCode::kTooLarge);
  CHECK(sender.counters().too_large == 1);
  CHECK(sender.Send("nonsense", MakeForwardRequest(1)).error().code == ErrorCode::kUnavailable);
}

TEST_CASE("undecodable bytes are counted as corrupt") {
  asio::io_context io;
  Receiver receiver(io);
  zmq::context_t context;
  zmq::socket_t raw_socket(context, zmq::socket_type::push);
  raw_socket.set(zmq::sockopt::linger, 0);
  raw_socket.connect("tcp://" + receiver.socket.bound_address());
  raw_socket.send(zmq::str_buffer("garbage"), zmq::send_flags::none);
  CHECK(RunUntil(io, [&] { return receiver.socket.counters().corrupt == 1; }));
  CHECK(receiver.received.empty());
}

TEST_CASE("a peer that reconnects receives no backlog") {
  asio::io_context io;
  PeerSocket sender(io, SenderIncarnation(), [](const PeerEnvelope&) {});
  const std::string address = "127.0.0.1:" + std::to_string(UnusedPort(io));
  CHECK(sender.Send(address, MakeForwardRequest(1)));
  CHECK(sender.Send(address, MakeForwardRequest(2)));
  CHECK(RunUntil(io, [&] { return sender.counters().not_sent == 2; }));
  Receiver receiver(io, address);
  // Later messages are sent once ZeroMQ has reconnected.
  std::uint64_t id = 3;
  CHECK(RunUntil(io, [&] {
    RunFor(io, milliseconds(50));
    CHECK(sender.Send(address, MakeForwardRequest(id++)));
    return !receiver.received.empty();
  }));
  CHECK(std::get<ForwardRequest>(receiver.received[0].message).id.value() > 2);
  CHECK(!receiver.socket.Bind(address));

  const std::uint64_t not_sent_before = sender.counters().not_sent;
  const std::string unreachable = "127.0.0.1:" + std::to_string(UnusedPort(io));
  Result<void> sent = boost::outcome_v2::success();
  for (int i = 0; i < 1000 && sent; ++i) sent = sender.Send(unreachable, MakeForwardRequest(1));
  CHECK(sent.error().code == ErrorCode::kUnavailable);
  sender.KeepOnly({address});
  CHECK(sender.counters().not_sent > not_sent_before + 1);
  RunFor(io, milliseconds(300));
}

}  // namespace mulberry
