// What the process tells callers about requests that were not answered.
#include <doctest/doctest.h>

#include "entry_hosts.h"
#include "transport/loopback.h"

namespace mulberry {

TEST_CASE("a refusal of another request does not make a request that ran count as not run") {
  EntryHosts hosts;
  const std::size_t before = hosts.server().started();
  HttpRequest request = Get(hosts.UrlOf(0, std::chrono::milliseconds(0)) + "&other_id=earlier");
  request.headers.emplace_back("Mulberry-Timeout-Ms", "300");
  const HttpAnswer answer = Exchange(hosts.io(), hosts.client(), request, false);
  REQUIRE(hosts.server().started() > before);
  CHECK(HeaderOf(answer, "mulberry-outcome") == "may-have-run");
  CHECK(answer.status == 504);
}

TEST_CASE("a server's own 503, 429, 421 and 408 are answers and no promise") {
  EntryHosts hosts;
  for (const char* status : {"408", "421", "429", "503"}) {
    CAPTURE(status);
    const std::size_t before = hosts.server().started();
    const HttpRequest request =
        Get(hosts.UrlOf(0, std::chrono::milliseconds(0)) + "&status=" + status);
    const HttpAnswer answer = Exchange(hosts.io(), hosts.client(), request, false);
    CHECK(hosts.server().started() > before);
    CHECK(HeaderOf(answer, "mulberry-outcome") == "answered");
    CHECK(HeaderOf(answer, "mulberry-server") == "s-1");
    CHECK(std::to_string(answer.status) == status);
  }
}

}  // namespace mulberry
