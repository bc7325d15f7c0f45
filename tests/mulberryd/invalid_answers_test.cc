// Answers of servers that the standard rules out, in the process of an entry host.
#include <doctest/doctest.h>

#include "entry_hosts.h"
#include "transport/endless_server.h"
#include "transport/invalid_responses.h"
#include "transport/loopback.h"

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr int kServers = 64;
constexpr int kSlots = 2;
constexpr int kCalls = 64;

constexpr char kLoad[] =
    R"({"start_id":7,"uptime_ms":60000,"in_flight":0,"slots":64,"state":"warm"})";

}  // namespace

// Guards against a process that hands on such an answer, or ends on it.
TEST_CASE("an entry host hands on no invalid answer and goes on serving") {
  const std::vector<RawResponse> invalid =
      InvalidResponses("X-Start-Id: 7\r\nContent-Type: text/broken\r\n");
  std::size_t sent = 0;
  EntryHosts hosts;
  EndlessServer server(hosts.io(), [&](const std::string& request) -> EndlessServer::Answer {
    if (request.starts_with("GET /load ")) return {SoundResponse("", kLoad), "", {}};
    return {invalid[sent++ % invalid.size()].bytes, "", {}};
  });
  // A server is taken out of use after a few failures, so there are many.
  for (int i = 0; i < kServers; ++i) {
    hosts.AddServer("f-" + std::to_string(i), server.address(), kSlots);
  }
  int started = 0;
  int ended = 0;
  int served = 0;
  const auto on_answer = [&](const HttpAnswer& answer) {
    ++ended;
    CHECK(answer.end == HttpEnd::kAnswered);
    if (HeaderOf(answer, "mulberry-outcome") != "answered") return;
    ++served;
    CHECK(answer.status == 200);
    CHECK(HeaderOf(answer, "mulberry-server") == "s-1");
    CHECK(answer.body.empty());
  };
  const auto call = [&] {
    for (; started < ended + kCalls; ++started) {
      hosts.client().Start(Get(hosts.UrlOf(0, milliseconds(20))), true, on_answer);
    }
    return sent >= invalid.size() || !hosts.process(0).Running();
  };
  RunUntil(hosts.io(), call, std::chrono::seconds(30));
  CHECK(RunUntil(hosts.io(), [&] { return ended == started; }));
  CHECK(hosts.process(0).Running());
  CHECK(hosts.process(1).Running());
  CHECK(sent >= invalid.size());
  CHECK(served > 0);
}

}  // namespace mulberry
