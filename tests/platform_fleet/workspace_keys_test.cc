#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/node_fixture.h"
#include "scenarios/runner/child_process.h"

namespace mulberry::platform {
namespace {

using gateway::RunFor;
using gateway::RunUntil;
using gateway::TestCaller;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kBound(5);

/// The configuration of ConfigText with an open route and a workspace `acme` with these keys.
std::string KeyConfigText(int version, const std::string& keys) {
  std::string text = ConfigText(version, "s");
  const std::string limits = R"({"ResourceType":"Limits")";
  text.insert(text.find(limits),
              R"({"ResourceType":"Routes","Metadata":{"Name":"open"},"Spec":{"Host":"h.example",
     "PathPrefix":"/open/","RouteType":"safe","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,
     "Service":"s","Attempts":2,"Public":true}},
    {"ResourceType":"Tenants","Metadata":{"Name":"acme"},"Spec":{"ApiKeys":[)" +
                  keys + "]}},");
  return text;
}

/// Nodes with strict revocation, and requests with keys that are counted at the servers.
struct KeyNodeFixture : NodeFixture {
  KeyNodeFixture() {
    revocation = {.strict = true, .bound = kBound};
    store.Put("keyed.op", "config", KeyConfigText(1, R"("key-1","key-2")"));
  }

  struct Sent {
    std::string id;
    std::string key;
    std::size_t node = 0;
    TimePoint at;
    std::unique_ptr<TestCaller> caller;
    int status() const {
      return caller->received.size() < 12 ? 0 : std::stoi(caller->received.substr(9, 3));
    }
  };

  void StartNodes(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) AddNode();
    REQUIRE(RunUntil(io, [&] {
      for (std::size_t i = 0; i < count; ++i) {
        if (!IsReady(i)) return false;
      }
      return true;
    }));
    RunFor(io, seconds(1));
  }

  Sent& Send(const std::string& address, std::size_t node, const std::string& key,
             const std::string& path = "/read/x") {
    sent.push_back({"k" + std::to_string(sent.size()), key, node, MonotonicClock::now(),
                    std::make_unique<TestCaller>(io)});
    Sent& request = sent.back();
    request.caller->Connect(address);
    request.caller->Write("GET " + path +
                          " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + request.id +
                          "\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\n\r\n");
    return request;
  }
  int Status(std::size_t node, const std::string& key, const std::string& path = "/read/x") {
    Sent& request = Send(settings[node].callers, node, key, path);
    const TestCaller& caller = *request.caller;
    RunUntil(io, [&] { return caller.ended; });
    return request.status();
  }
  /// Sends requests to each node several times a second.
  void Load(Duration time, const std::vector<std::string>& keys) {
    const TimePoint end = MonotonicClock::now() + time;
    while (MonotonicClock::now() < end) {
      for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (nodes[node] == nullptr) continue;
        for (const std::string& key : keys) Send(settings[node].callers, node, key);
      }
      RunFor(io, milliseconds(60));
    }
    RunFor(io, milliseconds(300));
  }
  bool Ran(const Sent& request) const { return server_one.runs().contains(request.id); }
  /// Requests with this key that were sent at or after `from` and ran.
  std::size_t RunsSince(const std::string& key, TimePoint from) const {
    return static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](const Sent& one) {
      return one.key == key && one.at >= from && Ran(one);
    }));
  }
  /// The store does not respond to this node from now on.
  void CutFromStore(std::size_t node) {
    gateway::GatewaySettings changed = settings[node];
    changed.store_address = "127.0.0.1:" + std::to_string(gateway::FreePort());
    nodes[node]->Reload(changed);
  }
  /// The age of the node's proof according to its metrics.
  double ProofAge(std::size_t node) {
    const std::string metrics =
        Get(settings[node].ip + ":" + std::to_string(settings[node].metrics_port), "/metrics");
    const std::string name = "\nmulberry_proof_age_seconds ";
    const std::size_t at = metrics.find(name);
    return at == std::string::npos ? -1 : std::stod(metrics.substr(at + name.size()));
  }

  std::vector<Sent> sent;
};

// Guards against proofs that cost a store call per host or request, and against refusals in normal
// operation.
TEST_CASE_FIXTURE(KeyNodeFixture, "several nodes serve keyed requests with few store calls") {
  StartNodes(4);
  RunFor(io, seconds(2));
  const auto seconds_since = [](TimePoint start) {
    return std::chrono::duration<double>(MonotonicClock::now() - start).count();
  };
  const std::uint64_t before_idle = store.calls();
  const TimePoint idle_from = MonotonicClock::now();
  RunFor(io, seconds(4));
  const double idle_rate =
      static_cast<double>(store.calls() - before_idle) / seconds_since(idle_from);
  double oldest = 0;
  const std::uint64_t before_load = store.calls();
  const TimePoint load_from = MonotonicClock::now();
  for (int i = 0; i < 4; ++i) {
    Load(milliseconds(700), {"key-1"});
    for (std::size_t node = 0; node < 4; ++node) oldest = std::max(oldest, ProofAge(node));
  }
  const double load_rate =
      static_cast<double>(store.calls() - before_load) / seconds_since(load_from);
  MESSAGE("store calls per second: idle " << idle_rate << ", with keyed requests " << load_rate
                                          << "; oldest proof " << oldest << " s");
  for (const Sent& request : sent) CHECK(request.status() == 200);
  CHECK(oldest < 2.5);
  // One node adds a read every 0.8 s; half a call per second for reads at the ends of the spans.
  CHECK(load_rate <= idle_rate + 1 / 0.8 + 0.5);
  CHECK(Status(1, "nobody") == 401);
  CHECK(Status(2, "nobody") == 401);
}

// Guards against a revoked key at a host that cannot read the store, over all hosts.
TEST_CASE_FIXTURE(KeyNodeFixture,
                  "a revoked key ends at all nodes, whether they reach the store or not") {
  StartNodes(4);
  CutFromStore(1);
  CutFromStore(3);
  Load(milliseconds(500), {"key-1", "key-2"});
  store.Put("keyed.op", "config", KeyConfigText(2, R"("key-2")"));
  const TimePoint revoked = MonotonicClock::now();
  Load(kBound + seconds(1), {"key-1", "key-2"});
  CHECK(RunsSince("key-1", revoked + kBound) == 0);
  // The relayed configuration arrives much earlier.
  CHECK(RunsSince("key-1", revoked + milliseconds(500)) == 0);
  CHECK(RunsSince("key-2", revoked + kBound) > 40);
  for (const Sent& request : sent) {
    CAPTURE(request.node);
    if (request.key == "key-2") CHECK(request.status() == 200);
  }
  for (std::size_t node = 0; node < 4; ++node) CHECK(Status(node, "key-1") == 401);
}

// Guards against a loss of service at a host that only lacks its own path to the store.
TEST_CASE_FIXTURE(KeyNodeFixture, "a node cut from the store gets its proof from others") {
  StartNodes(3);
  CutFromStore(2);
  RunFor(io, kBound + seconds(2));
  // Nobody asked meanwhile, so the proof has lapsed: the request is held for the answer.
  CHECK(Status(2, "key-1") == 200);
  CHECK(Status(2, "nobody") == 401);
}

// Guards against service under a key of which nobody can say whether it is still valid.
TEST_CASE_FIXTURE(KeyNodeFixture, "while the store is away, keyed requests end within the bound") {
  StartNodes(3);
  Load(milliseconds(500), {"key-1"});
  store.SetMode(StoreMode::kSilent);
  const TimePoint lost = MonotonicClock::now();
  Load(kBound + seconds(1), {"key-1"});
  CHECK(RunsSince("key-1", lost + seconds(2)) > 20);
  CHECK(RunsSince("key-1", lost + kBound) == 0);
  for (std::size_t node = 0; node < 3; ++node) {
    const TimePoint asked = MonotonicClock::now();
    CHECK(Status(node, "key-1") == 503);
    CHECK(MonotonicClock::now() - asked < milliseconds(300));
    CHECK(sent.back().caller->received.find("Retry-After: ") != std::string::npos);
    CHECK(Status(node, "nobody") == 503);
    CHECK(Status(node, "key-1", "/open/x") == 200);
  }
  store.SetMode(StoreMode::kServing);
  const TimePoint back = MonotonicClock::now();
  CHECK(RunUntil(io, [&] { return Status(0, "key-1") == 200; }));
  CHECK(RunUntil(io, [&] { return Status(2, "key-1") == 200; }));
  CHECK(MonotonicClock::now() - back < seconds(4));
}

// Guards against a host that is cut off from the store and from all other hosts.
TEST_CASE_FIXTURE(KeyNodeFixture,
                  "a node cut off from everything stops in time and open routes go on") {
  StartNodes(2);
  Load(milliseconds(500), {"key-1"});
  CutFromStore(1);
  nodes[0].reset();
  const TimePoint cut = MonotonicClock::now();
  store.Put("keyed.op", "config", KeyConfigText(2, R"("key-2")"));
  Load(kBound + seconds(1), {"key-1"});
  CHECK(RunsSince("key-1", cut + kBound) == 0);
  CHECK(Status(1, "key-1", "/open/x") == 200);
  CHECK(Status(1, "key-1") == 503);
}

// Guards against a copy that makes a revoked key valid again, at any host.
TEST_CASE_FIXTURE(KeyNodeFixture, "a restored store does not bring back a revoked key") {
  store.SaveCopy();
  StartNodes(3);
  store.Put("keyed.op", "config", KeyConfigText(2, R"("key-2")"));
  const TimePoint revoked = MonotonicClock::now();
  Load(seconds(1), {"key-1", "key-2"});
  store.Restore();
  Load(milliseconds(500), {"key-1", "key-2"});
  // The copy has the old configuration, also for a node that starts now.
  AddNode();
  Load(seconds(5), {"key-1", "key-2"});
  CHECK(RunsSince("key-1", revoked + milliseconds(500)) == 0);
  for (std::size_t node = 0; node < 4; ++node) {
    CAPTURE(node);
    CHECK(Status(node, "key-2") == 200);
    CHECK(Status(node, "key-1") != 200);
  }
  for (const Sent& request : sent) {
    if (request.node < 3 && request.key == "key-2") CHECK(request.status() == 200);
  }
}

// Guards against a new key that a host refuses for good because it has not heard of it.
TEST_CASE_FIXTURE(KeyNodeFixture, "a key that was just added never gets 401") {
  bool is_strict = true;
  SUBCASE("strict") {}
  SUBCASE("not strict") { is_strict = false; }
  revocation.strict = is_strict;
  StartNodes(3);
  for (int version = 2; version < 8; ++version) {
    const std::string key = "new-" + std::to_string(version);
    store.Put("keyed.op", "config", KeyConfigText(version, "\"" + key + "\""));
    for (std::size_t node = 0; node < 3; ++node) {
      const int status = Status(node, key);
      CHECK((status == 200 || status == 503));
    }
    CHECK(RunUntil(io, [&] { return Status(1, key) == 200; }));
  }
  CHECK(RunUntil(io, [&] { return Status(2, "nobody") == 401; }));
}

/// A real process, which can be suspended.
struct KeyProcessFixture : KeyNodeFixture {
  KeyProcessFixture()
      : directory((std::filesystem::temp_directory_path() / "keys-XXXXXX").string()),
        callers("127.0.0.99:" + std::to_string(gateway::FreePort())) {
    REQUIRE(mkdtemp(directory.data()) != nullptr);
  }
  ~KeyProcessFixture() {
    process.Kill();
    std::filesystem::remove_all(directory);
  }

  void Start() {
    const auto port = [] { return std::to_string(gateway::FreePort()); };
    const std::string file = directory + "/settings.ini";
    std::ofstream(file) << "[host]\nname = frozen\ndata_centre = here\nip = 127.0.0.99\n"
                        << "[listen]\ncallers = " << callers
                        << "\nreadiness = 127.0.0.99:" << port()
                        << "\ndirectory = 127.0.0.99:" << port() << "\npeer_port = " << port()
                        << "\nmetrics_port = " << port() << "\n[store]\naddress = " << store_address
                        << "\n[workspaces]\nstrict_revocation = true\nrevocation_bound_ms = 5000\n";
    REQUIRE(
        process.Start({MULBERRY_BINARY_DIR "/mulberryd", "--gateway=" + file}, directory + "/log"));
  }
  int StatusAtProcess(const std::string& key) {
    Sent& request = Send(callers, 0, key);
    const TestCaller& caller = *request.caller;
    RunUntil(io, [&] { return caller.ended; });
    return request.status();
  }
  bool ServesSoon(const std::string& key) {
    for (int i = 0; i < 100; ++i) {
      try {
        if (StatusAtProcess(key) == 200) return true;
      } catch (const std::system_error&) {
        // Its port is not open yet.
        sent.pop_back();
      }
      RunFor(io, milliseconds(50));
    }
    return false;
  }

  std::string directory;
  std::string callers;
  scenario::ChildProcess process;
};

// Guards against a process that wakes after the bound and serves on what it knew before.
TEST_CASE_FIXTURE(KeyProcessFixture,
                  "a suspended process executes nothing under a key that was revoked") {
  Start();
  REQUIRE(ServesSoon("key-1"));
  CHECK(ServesSoon("key-2"));
  process.Signal(SIGSTOP);
  store.Put("keyed.op", "config", KeyConfigText(2, R"("key-2")"));
  const TimePoint revoked = MonotonicClock::now();
  // The system accepts these connections while the process is suspended.
  while (MonotonicClock::now() - revoked < kBound + seconds(1)) {
    Send(callers, 0, "key-1");
    RunFor(io, milliseconds(100));
  }
  bool has_store = true;
  SUBCASE("the store is there when it wakes") {}
  SUBCASE("the store is away when it wakes") {
    has_store = false;
    store.SetMode(StoreMode::kSilent);
  }
  process.Signal(SIGCONT);
  RunFor(io, milliseconds(500));
  CHECK(RunsSince("key-1", revoked + kBound) == 0);
  CHECK(StatusAtProcess("key-1") != 200);
  if (has_store) CHECK(ServesSoon("key-2"));
  if (!has_store) CHECK(StatusAtProcess("key-2") == 503);
  // A key is in no line of the log.
  std::ifstream log(directory + "/log");
  const std::string lines((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
  CHECK(lines.find("key_refused") != std::string::npos);
  CHECK(lines.find("key-1") == std::string::npos);
}

// Guards against a restarted process that serves before it knows the newest configuration.
TEST_CASE_FIXTURE(KeyProcessFixture, "a killed and restarted process does not know a revoked key") {
  Start();
  REQUIRE(ServesSoon("key-1"));
  process.Kill();
  store.Put("keyed.op", "config", KeyConfigText(2, R"("key-2")"));
  const TimePoint revoked = MonotonicClock::now();
  Start();
  REQUIRE(ServesSoon("key-2"));
  CHECK(StatusAtProcess("key-1") == 401);
  CHECK(RunsSince("key-1", revoked) == 0);
}

}  // namespace
}  // namespace mulberry::platform
