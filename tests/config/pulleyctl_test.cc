// Runs pulleyctl against the stand-in platform.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace mulberry {
namespace {

using asio::ip::tcp;
using Json = nlohmann::json;

/// Runs a program of the build as a child process and captures its output.
class ChildProcess {
 public:
  explicit ChildProcess(const std::string& name, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), std::string(MULBERRY_BINARY_DIR) + "/" + name);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    std::array<int, 2> pipe_fds{};
    REQUIRE(pipe2(pipe_fds.data(), O_CLOEXEC) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDERR_FILENO);
    REQUIRE(posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_fds[1]);
    output_ = pipe_fds[0];
  }
  ~ChildProcess() {
    if (pid_ > 0) kill(pid_, SIGTERM);
    Wait();
    close(output_);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Reads output up to and including `end`, or all of it.
  std::string Read(char end = '\0') {
    std::string text;
    char character = 0;
    while (read(output_, &character, 1) == 1) {
      text += character;
      if (character == end) break;
    }
    return text;
  }

  int Wait() {
    int status = 0;
    if (pid_ > 0) waitpid(std::exchange(pid_, -1), &status, 0);
    return WEXITSTATUS(status);
  }

 private:
  pid_t pid_ = -1;
  int output_ = -1;
};

std::string FreePort() {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return std::to_string(acceptor.local_endpoint().port());
}

/// The stand-in platform with two data centres of service reservas.
class PlatformProcess {
 public:
  explicit PlatformProcess(const std::string& entry_address)
      : port_(FreePort()), process_("standin_platform", {"--port", port_}) {
    REQUIRE(process_.Read('\n').substr(0, 5) == "ready");
    Json hosts;
    hosts["entry_hosts"] = {{{"name", "a-1"}, {"dc", "a"}, {"http", entry_address}, {"peer", "x"}}};
    for (const std::string dc : {"a", "b"}) {
      hosts["backend_servers"].push_back({{"name", "reservas-" + dc},
                                          {"service", "reservas"},
                                          {"dc", dc},
                                          {"address", "127.0.0.1:9"},
                                          {"slots", 4},
                                          {"connections", 200}});
    }
    Post("/admin/hosts", hosts.dump());
  }

  std::string address() const { return "127.0.0.1:" + port_; }

  void Post(const std::string& target, const std::string& body = "") const {
    tcp::iostream stream("127.0.0.1", port_);
    stream << "POST " << target
           << " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " << body.size()
           << "\r\n\r\n"
           << body << std::flush;
    std::string status;
    std::getline(stream, status);
    REQUIRE(status.find("200") != std::string::npos);
  }

 private:
  std::string port_;
  ChildProcess process_;
};

/// Fake entry host that returns the same status for every request.
class EntryHostStub {
 public:
  explicit EntryHostStub(const Json& status)
      : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        body_(status.dump()),
        thread_([this] { Serve(); }) {}
  ~EntryHostStub() {
    tcp::iostream stop(acceptor_.local_endpoint());
    stop << "stop\r\n\r\n" << std::flush;
    thread_.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    while (true) {
      tcp::socket socket = acceptor_.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      if (std::string(asio::buffer_cast<const char*>(request.data()), 4) == "stop") return;
      const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ";
      asio::write(socket, asio::buffer(head + std::to_string(body_.size()) + "\r\n\r\n" + body_));
    }
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string body_;
  std::thread thread_;
};

struct CommandResult {
  int status = 0;
  Json json;
};

struct Fixture {
  CommandResult RunPulleyctl(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(),
                     {"--platform", platform.address(), "--author", "ana", "--json"});
    ChildProcess process("pulleyctl", arguments);
    const std::string text = process.Read();
    INFO(text);
    const int status = process.Wait();
    const Json json = Json::parse(text, nullptr, false);
    REQUIRE(json.is_object());
    return {status, json};
  }

  CommandResult SetClass(std::vector<std::string> extra_arguments = {}) const {
    std::vector<std::string> arguments = {"class",
                                          "set",
                                          "book",
                                          "--service=reservas",
                                          "--idempotent=false",
                                          "--latency_ms=120",
                                          "--reliability=0.999"};
    arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
    return RunPulleyctl(arguments);
  }

  EntryHostStub host{Json::parse(R"({"host":"a-1","data_centre":"a",
      "config":{"offset":1,"permission":"cut_off"},
      "groups":[{"service":"reservas","data_centre":"a","lease":"held","owner":"a-1","servers":[
        {"name":"reservas-a","state":"ejected","reason":"refuses connections"}]}],
      "refusals":[{"at_ms":1,"class":"book","reason":"no_server","outcome":"not-run"}]})")};
  PlatformProcess platform{host.address()};
};

TEST_CASE_FIXTURE(Fixture, "pulleyctl publishes changes and shows their results") {
  const CommandResult first = SetClass();
  CHECK(first.status == 0);
  CHECK(first.json["version"] == 1);
  CHECK(RunPulleyctl({"class", "set", "book", "--latency_ms=80"}).json["version"] == 2);
  const CommandResult stale = SetClass({"--base=1"});
  CHECK(stale.status == 2);
  CHECK(stale.json["rival"]["version"] == 2);
  const Json shown = RunPulleyctl({"show"}).json;
  CHECK(shown["classes"][0]["latency_ms"] == 80.0);
  CHECK(shown["classes"][0]["idempotent"] == false);
  CHECK(shown["classes"][0]["author"] == "ana");
  CHECK(RunPulleyctl({"fate", first.json["change_id"]}).json["version"] == 1);
  CHECK(RunPulleyctl({"fate", stale.json["change_id"]}).status == 2);
  CHECK(RunPulleyctl({"fate", "c0"}).status == 3);
  CHECK(RunPulleyctl({"budget", "set", "reservas", "--probes_per_second=4"}).status == 0);
  CHECK(RunPulleyctl({"class", "remove", "book"}).status == 0);
  CHECK(RunPulleyctl({"class", "remove", "book"}).status == 1);
}

TEST_CASE_FIXTURE(Fixture, "pulleyctl rejects invalid commands before appending a change") {
  CHECK(SetClass({"--latency_ms=0"}).status == 1);
  CHECK(SetClass({"--reliability=1"}).status == 1);
  CHECK(RunPulleyctl({"class", "set", "new", "--latency_ms=9"}).status == 1);
  CHECK(RunPulleyctl({"dc", "leave"}).status == 1);
  CHECK(RunPulleyctl({"dc", "leave", "a", "--latency_ms=9"}).status == 1);
  CHECK(RunPulleyctl({"dc", "leave", "absent"}).status == 1);
  REQUIRE(SetClass().json["version"] == 1);
  CHECK(RunPulleyctl({"dc", "leave", "b"}).status == 0);
  CHECK(RunPulleyctl({"dc", "leave", "a"}).status == 1);
  CHECK(RunPulleyctl({"server", "leave", "reservas-a"}).status == 1);
  CHECK(RunPulleyctl({"dc", "leave", "a", "--force"}).status == 0);
  CHECK(RunPulleyctl({"dc", "return", "b"}).json["version"] == 4);
}

TEST_CASE_FIXTURE(Fixture, "pulleyctl handles lost responses and outages") {
  platform.Post("/admin/lose_answers?count=1");
  CHECK(SetClass().json["version"] == 1);
  platform.Post("/admin/outage?on=1&part=log");
  CHECK(SetClass({"--timeout_ms=500"}).status == 4);
  platform.Post("/admin/outage?on=0");
  platform.Post("/admin/wipe");
  CHECK(RunPulleyctl({"show"}).status == 4);
}

TEST_CASE_FIXTURE(Fixture, "pulleyctl shows and explains the status of entry hosts") {
  CHECK(SetClass({"--entry=" + host.address()}).status == 1);
  REQUIRE(SetClass().status == 0);
  CHECK(RunPulleyctl({"status"}).json["hosts"][0]["status"]["host"] == "a-1");
  CHECK(RunPulleyctl({"status", "a-2"}).status == 1);
  CHECK(RunPulleyctl({"status", "127.0.0.1:1"}).status == 4);
  REQUIRE(RunPulleyctl({"server", "leave", "reservas-a"}).status == 0);
  const std::string server =
      RunPulleyctl({"explain", "server", "reservas-a"}).json["findings"].dump();
  CHECK(server.find("out by configuration (version 2 by ana") != std::string::npos);
  CHECK(server.find("ejected, refuses connections") != std::string::npos);
  const std::string data_centre = RunPulleyctl({"explain", "dc", "a"}).json["findings"].dump();
  CHECK(data_centre.find("a-1 takes no new work") != std::string::npos);
  const Json refusals = RunPulleyctl({"explain", "refusals"}).json["refusals"];
  CHECK(refusals[0]["reason"] == "no_server");
  CHECK(RunPulleyctl({"explain", "server", "absent"}).status == 1);
}

}  // namespace
}  // namespace mulberry
