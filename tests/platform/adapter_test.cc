#include <doctest/doctest.h>

#include "platform/platform.h"
#include "platform/topic_log_format.h"

namespace mulberry::platform {
namespace {

using gateway::Topic;

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string out;
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(number >> (8 * i) & 0xffU);
  return out;
}

constexpr char kConfig[] = R"({"Version":"r12","Resources":[
  {"ResourceType":"Routes","Metadata":{"Name":"one"},"Spec":{"Host":"h.example","PathPrefix":"/a/",
   "RouteType":"unsafe","TimeoutMs":1000,"TargetLatencyMs":250,"Priority":1,"Service":"s","Attempts":2}},
  {"ResourceType":"Routes","Metadata":{"Name":"two"},"Spec":{"Host":"h.example","PathPrefix":"/b/",
   "RouteType":"safe","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,
   "TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"Attempts":3}},
  {"ResourceType":"Services","Metadata":{"Name":"s"},"Spec":{"HealthPath":"/health",
   "MaxConnections":220,"Protocol":"h1","Tls":false,"WarmupS":3.5,"WarmupPerS":15.0}},
  {"ResourceType":"Later","Metadata":{"Name":"unknown"},"Spec":{}},
  {"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":100,"MaxBodyBytes":200,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";

constexpr char kServer[] = R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1",
  "Slots":4,"State":"ready","WarmupLeftMs":1500,"Seq":4,"born":1700000000123})";

TEST_CASE("a configuration is decoded into the gateway's types") {
  const auto adapter = MakeAdapter();
  const auto update = adapter->ParseOperatorRecord({"config", kConfig});
  REQUIRE(update);
  const auto& config = std::get<gateway::ConfigUpdate>(update.value()).config;
  CHECK(config.version.value() == 12);
  REQUIRE(config.routes.size() == 2);
  CHECK_FALSE(config.routes[0].idempotent);
  CHECK(config.routes[0].timeout == std::chrono::seconds(1));
  CHECK(config.routes[0].priority == 1);
  CHECK(config.routes[1].idempotent);
  CHECK(config.routes[1].shares.size() == 2);
  CHECK(config.routes[1].shares[1].weight == 10);
  const auto& service = config.services.at(ServiceName("s"));
  CHECK(service.cold_time == std::chrono::milliseconds(3500));
  CHECK(service.cold_rate == 15);
  CHECK(config.limits.max_head_bytes == 100);
  CHECK(config.limits.idle_timeout == std::chrono::seconds(15));
}

TEST_CASE("a truncated configuration is rejected, and a missing field is named in the error") {
  const auto adapter = MakeAdapter();
  const std::string text = kConfig;
  for (std::size_t length = 0; length < text.size(); length += 7) {
    CHECK_FALSE(adapter->ParseOperatorRecord({"config", text.substr(0, length)}).has_value());
  }
  std::string without_attempts = text;
  without_attempts.replace(without_attempts.find("\"Attempts\""), 10, "\"attempts\"");
  const auto update = adapter->ParseOperatorRecord({"config", without_attempts});
  REQUIRE_FALSE(update.has_value());
  CHECK(update.error().message.find("Attempts") != std::string::npos);
}

TEST_CASE("a data centre is out of service while its record exists") {
  const auto adapter = MakeAdapter();
  const auto out = adapter->ParseOperatorRecord({"evacuate/z", "{}"});
  CHECK(std::get<gateway::DataCentreOutUpdate>(out.value()).out);
  const auto back = adapter->ParseOperatorRecord({"evacuate/z", std::nullopt});
  CHECK_FALSE(std::get<gateway::DataCentreOutUpdate>(back.value()).out);
  CHECK(std::get<gateway::DataCentreOutUpdate>(back.value()).data_centre == DataCentreName("z"));
  CHECK(std::holds_alternative<gateway::UnknownUpdate>(
      adapter->ParseOperatorRecord({"else", "1"}).value()));
}

TEST_CASE("a server entry contains its start time and how long it stays cold") {
  const auto entry = MakeAdapter()->ParseServer({"i-1", kServer});
  REQUIRE(entry);
  CHECK(entry.value().id == ServerName("i-1"));
  CHECK(entry.value().slots == 4);
  CHECK(entry.value().cold_time_left == std::chrono::milliseconds(1500));
  CHECK(entry.value().started_at_ms == 1700000000123);
  CHECK(entry.value().sequence == 4);
  CHECK_FALSE(entry.value().leaving);
}

TEST_CASE("the store's era is a header of its responses") {
  const auto adapter = MakeAdapter();
  CHECK(adapter->ParseStoreEra({{"Date", "today"}, {"store-era", "12"}}) == StoreEra(12));
  CHECK_FALSE(adapter->ParseStoreEra({{"Date", "today"}}).has_value());
  CHECK_FALSE(adapter->ParseStoreEra({{"Store-Era", "12x"}}).has_value());
  CHECK_FALSE(adapter->ParseStoreEra({{"Store-Era", "-1"}}).has_value());
}

TEST_CASE("a malformed server entry is rejected") {
  const auto adapter = MakeAdapter();
  const auto parses_with = [&](const std::string& from, const std::string& to) {
    std::string text = kServer;
    text.replace(text.find(from), from.size(), to);
    return adapter->ParseServer({"i-1", text}).has_value();
  };
  CHECK_FALSE(parses_with("\"ready\"", "\"resting\""));
  CHECK_FALSE(parses_with("\"Slots\":4", "\"Slots\":\"4\""));
  CHECK_FALSE(parses_with("\"Slots\":4", "\"Slots\":0"));
  CHECK_FALSE(parses_with("\"Slots\":4", "\"Slots\":4294967297"));
  CHECK_FALSE(parses_with("\"WarmupLeftMs\":1500", "\"WarmupLeftMs\":1e300"));
  CHECK_FALSE(parses_with("\"born\":1700000000123", "\"born\":-1e300"));
  CHECK_FALSE(parses_with("\"Address\"", "\"address\""));
  CHECK_FALSE(parses_with("\"Service\":\"s\"", "\"Service\":null"));
  CHECK_FALSE(adapter->ParseServer({"i-1", "\x01\xff"}).has_value());
  CHECK_FALSE(adapter->ParseServer({"i-1", "[]"}).has_value());
}

TEST_CASE("a server entry whose address nobody can connect to is rejected") {
  const auto adapter = MakeAdapter();
  const auto parses_with_address = [&](const std::string& address) {
    std::string text = kServer;
    const std::size_t begin = text.find("\"Address\":\"") + 11;
    text.replace(begin, text.find('"', begin) - begin, address);
    return adapter->ParseServer({"i-1", text}).has_value();
  };
  CHECK(parses_with_address("10.128.0.9:65535"));
  for (const std::string address :
       {"10.128.0.9:99999", "10.128.0.9:65536", "10.128.0.9:0", "10.128.0.9:-1",
        "10.128.0.9:", "10.128.0.9", "10.128.0.9:80:80", "server.example:80", ":80", "",
        "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.128.0.9:18446744073709551697"}) {
    CAPTURE(address);
    CHECK_FALSE(parses_with_address(address));
  }
  const auto error =
      adapter->ParseServer({"i-1", std::string(kServer).replace(std::string(kServer).find("10."), 3,
                                                                std::string(12000, '1'))});
  REQUIRE_FALSE(error.has_value());
  CHECK(error.error().message.size() < 200);
}

TEST_CASE("a server entry that lacks a field, or has one of another type, is rejected") {
  const auto adapter = MakeAdapter();
  for (const std::string name :
       {"Service", "Address", "Zone", "Version", "Slots", "State", "WarmupLeftMs", "Seq"}) {
    CAPTURE(name);
    for (const std::string value : {"", "null", "[]", "true", "-1", "{}"}) {
      CAPTURE(value);
      std::string text = kServer;
      const std::size_t begin = text.find("\"" + name + "\":");
      const std::size_t end = text.find(',', begin) + 1;
      std::string field;
      if (!value.empty()) field.append("\"").append(name).append("\":").append(value).append(",");
      text.replace(begin, end - begin, field);
      CHECK_FALSE(adapter->ParseServer({"i-1", text}).has_value());
    }
  }
  for (const std::string born : {"1.5", "\"1700000000123\"", "-1", "[]"}) {
    CAPTURE(born);
    std::string text = kServer;
    text.replace(text.find("1700000000123"), 13, born);
    CHECK_FALSE(adapter->ParseServer({"i-1", text}).has_value());
  }
}

TEST_CASE("deeply nested and oversized values in a server entry do no harm") {
  const auto adapter = MakeAdapter();
  constexpr std::size_t kLevels = 130'000;
  const std::string lists = std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string objects;
  for (std::size_t i = 0; i < kLevels; ++i) objects += "{\"a\":";
  objects += "1" + std::string(kLevels, '}');
  for (const std::string& value :
       {lists, objects, std::string(kLevels, '['), std::string("1e400"), std::string(60, '9'),
        "-" + std::string(60, '9'), std::string("\"\\ud800\"")}) {
    for (const std::string name : {"Service", "Address", "Slots", "Seq", "WarmupLeftMs", "born"}) {
      CAPTURE(name);
      std::string text = kServer;
      const std::size_t begin = text.find("\"" + name + "\":") + name.size() + 3;
      text.replace(begin, text.find_first_of(",}", begin) - begin, value);
      CHECK_FALSE(adapter->ParseServer({"i-1", text}).has_value());
    }
    CHECK_FALSE(adapter->ParseServer({"i-1", value}).has_value());
    CHECK_FALSE(adapter->ParseHost({"host", value}).has_value());
    CHECK_FALSE(adapter->ParseOperatorRecord({"config", value}).has_value());
  }
  CHECK(adapter->ParseServer({"i-1", kServer}).has_value());
}

TEST_CASE("the records of a read are decoded, and a removed key has no value") {
  const std::string body = BigEndian(9, 8) + BigEndian(2, 8) + EncodeRecord("a", "12") +
                           EncodeRecord("b", "") + EncodeRecord("c", std::string(1, '\0'));
  const auto page = DecodeRecords(body, Offset(5));
  REQUIRE(page);
  CHECK(page.value().next == Offset(8));
  REQUIRE(page.value().records.size() == 3);
  CHECK(page.value().records[0].value == "12");
  CHECK_FALSE(page.value().records[1].value.has_value());
  CHECK(page.value().records[2].value->size() == 1);
  for (std::size_t length = 1; length < body.size(); ++length) {
    const auto truncated = DecodeRecords(std::string_view(body).substr(0, length), Offset(5));
    if (truncated.has_value()) CHECK(truncated.value().records.size() < 3);
  }
}

TEST_CASE("the newest records are decoded with the offset to continue reading from") {
  const auto page = DecodeNewest(
      R"({"items":[{"Key":"a","Value":"MTI=","Offset":4},{"Key":"b","Value":"!","Offset":5}],"More":true,"End":6})");
  REQUIRE(page);
  CHECK(page.value().end == Offset(6));
  CHECK(page.value().more);
  REQUIRE(page.value().records.size() == 1);
  CHECK(page.value().records[0].value == "12");
  CHECK_FALSE(DecodeNewest("{\"items\":[]}").has_value());
  CHECK_FALSE(DecodeNewest("").has_value());
}

TEST_CASE("a load report of three or four numbers is decoded") {
  const auto adapter = MakeAdapter();
  CHECK(adapter->ParseLoad("3,1,8")->waiting == 1);
  CHECK(adapter->ParseLoad("3,1,8")->slowness == 1);
  CHECK(adapter->ParseLoad("3,1,8,250")->slowness == 2.5);
  for (const char* text : {"", "3", "3,1", "3,1,x", "3,1,8,", "-1,0,4"}) {
    CHECK_FALSE(adapter->ParseLoad(text).has_value());
  }
  const auto health_report = adapter->ParseHealth(
      503, {{"X-Instance-Id", "i-1"}, {"X-Warmup-Ms", "700"}, {"X-Backend-Load", "1,0,4,500"}});
  CHECK_FALSE(health_report.healthy);
  CHECK(health_report.id == ServerName("i-1"));
  CHECK(health_report.cold_time_left == std::chrono::milliseconds(700));
  CHECK(health_report.load->slowness == 5);
}

TEST_CASE("a health response says whether the server is leaving") {
  const auto adapter = MakeAdapter();
  CHECK(adapter->ParseHealth(503, {{"server-leaving", "1"}}).leaving);
  CHECK_FALSE(adapter->ParseHealth(200, {{"Server-Leaving", "0"}}).leaving);
  CHECK_FALSE(adapter->ParseHealth(503, {}).leaving);
}

TEST_CASE("a host record is decoded as it was encoded") {
  const auto adapter = MakeAdapter();
  gateway::HostRecord record{HostName("h-1"), DataCentreName("z"), "10.0.0.1:7720"};
  record.capacity = 140;
  const auto call = adapter->PutHost(record);
  const auto page = DecodeRecords(std::string(16, '\0') + call.body, Offset(0));
  REQUIRE(page.value().records.size() == 1);
  const auto host = adapter->ParseHost(page.value().records[0]);
  REQUIRE(host);
  CHECK(host.value().host == record.host);
  CHECK(host.value().data_centre == record.data_centre);
  CHECK(host.value().peer_address == record.peer_address);
  CHECK(host.value().capacity == 140);
  CHECK_FALSE(adapter->ParseHost({"h", "{}"}).has_value());
}

TEST_CASE("requests of the platform are parsed, and responses to them are encoded") {
  const auto adapter = MakeAdapter();
  CHECK(adapter->IsReadinessRequest("/readiness"));
  CHECK_FALSE(adapter->IsReadinessRequest("/other"));
  const auto query = adapter->ParseAddressQuery("/resolve?Name=h.example&Region=r&Zone=z-1");
  REQUIRE(query);
  CHECK(query->host == "h.example");
  CHECK(query->data_centre == DataCentreName("z-1"));
  CHECK_FALSE(adapter->ParseAddressQuery("/else").has_value());
  CHECK(adapter->WriteAddresses({"10.0.0.1:80"}, std::chrono::seconds(2)) ==
        R"({"Addresses":["10.0.0.1:80"],"TtlS":2})");
  const auto call = adapter->ReadNewest(Topic::kServers, "a b");
  CHECK(call.target == "/log-newest?Topic=keyed.servers&part=0&after=a%20b");
}

}  // namespace
}  // namespace mulberry::platform
