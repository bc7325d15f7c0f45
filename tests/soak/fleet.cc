#include "soak/fleet.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace mulberry::soak {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kServices[] = {"alpha", "beta"};
constexpr const char* kDataCentres[] = {"here", "there"};

/// Ends the soak; without its stand-ins nothing can be said of the system.
void Must(const Result<void>& opened) {
  if (opened) return;
  std::fprintf(stderr, "gateway_soak: %s\n", opened.error().message.c_str());
  std::exit(2);
}

/// Waits until a program catches a signal; while it is being loaded, no program can, and the signal
/// would end it.
void AwaitCatch(pid_t pid, int signal) {
  constexpr int kMostTries = 40;
  for (int i = 0; i < kMostTries; ++i) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (!line.starts_with("SigCgt:")) continue;
      const std::uint64_t caught = std::stoull(line.substr(7), nullptr, 16);
      if ((caught >> static_cast<unsigned>(signal - 1) & 1U) != 0) return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

std::string Route(const std::string& name, const std::string& type, const std::string& service) {
  return fmt::format(
      R"({{"ResourceType":"Routes","Metadata":{{"Name":"{0}"}},"Spec":{{"Host":"h.example",)"
      R"("PathPrefix":"/{0}/","RouteType":"{1}","TimeoutMs":1000,"TargetLatencyMs":200,)"
      R"("Priority":1,"Service":"{2}","Attempts":2}}}})",
      name, type, service);
}

}  // namespace

Fleet::Fleet(asio::io_context& io, Options options)
    : io_(io), options_(std::move(options)), ports_(io), store_(io) {
  store_port_ = ports_.Next();
  Must(store_.Open(kLoopback, store_port_));
  peer_port_ = ports_.Next();
  metrics_port_ = ports_.Next();
  const std::uint16_t callers = ports_.Next();
  const std::uint16_t readiness = ports_.Next();
  const std::uint16_t directory = ports_.Next();
  for (int d = 0; d < 2; ++d) {
    for (int i = 0; i < options_.hosts_per_data_centre; ++i) {
      auto host = std::make_unique<Host>();
      host->name = fmt::format("{}-{}", kDataCentres[d], i + 1);
      host->data_centre = kDataCentres[d];
      host->ip = fmt::format("127.0.{}.{}", d + 1, i + 1);
      host->settings_file = options_.folder + "/" + host->name + ".ini";
      host->callers = callers;
      host->readiness = readiness;
      host->directory = directory;
      host->store_link =
          std::make_unique<scenario::Relay>(io_, ports_.Next(), kLoopback, store_port_);
      hosts_.push_back(std::move(host));
    }
  }
  for (const char* service : kServices) {
    for (int i = 0; i < options_.backends_per_service; ++i) {
      auto backend = std::make_unique<Backend>();
      const std::uint16_t port = ports_.Next();
      backend->server = std::make_unique<platform::FakeBackendServer>(
          io_, fmt::format("{}-{}", service, i + 1), service);
      Must(backend->server->Open(kLoopback, port));
      backend->link = std::make_unique<scenario::Relay>(io_, ports_.Next(), kLoopback, port);
      backend->data_centre = kDataCentres[i % 2];
      backend->server->SetServiceTime(std::chrono::milliseconds(20));
      backends_.push_back(std::move(backend));
    }
  }
}

void Fleet::WriteSettings(const Host& host) const {
  std::ofstream file(host.settings_file);
  file << "[host]\nname = " << host.name << "\ndata_centre = " << host.data_centre
       << "\nip = " << host.ip << "\n[listen]\ncallers = " << host.ip << ":" << host.callers
       << "\nreadiness = " << host.ip << ":" << host.readiness << "\ndirectory = " << host.ip << ":"
       << host.directory << "\npeer_port = " << peer_port_ << "\nmetrics_port = " << metrics_port_
       << "\n[store]\naddress = " << host.store_link->address()
       << "\nfirst_start = " << (host.first_start ? "true" : "false")
       << "\nleaving_bound_ms = " << kLeavingBound.count()
       << "\n[callers]\ngrace_s = " << kGrace.count()
       << "\n[budget]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 60\n"
          "cold_overage = 1.5\ncold_slack = 5\n";
}

void Fleet::StartHost(Host& host) {
  WriteSettings(host);
  host.first_start = false;
  host.paused = false;
  host.stopping = false;
  host.stop_bound.reset();
  host.expected = host.process.Start({options_.program, "--gateway=" + host.settings_file},
                                     options_.folder + "/" + host.name + ".log");
}

void Fleet::Signal(Host& host, int signal) {
  if (signal == SIGKILL || signal == SIGTERM) host.expected = false;
  if (signal == SIGSTOP || signal == SIGCONT) host.paused = signal == SIGSTOP;
  if (signal == SIGSTOP) host.stop_bound.reset();
  if (signal == SIGTERM && host.process.Running()) {
    const TimePoint now = MonotonicClock::now();
    if (!host.stopping && !host.paused) host.stop_bound = now + kGrace;
    host.stopping = true;
    stops_.push_back({host.address(), now});
  }
  if (signal == SIGHUP) {
    WriteSettings(host);
    AwaitCatch(host.process.pid(), signal);
  }
  host.process.Signal(signal);
}

std::vector<std::string> Fleet::RestartEnded() {
  std::vector<std::string> unexpected;
  for (const auto& host : hosts_) {
    if (host->process.Running()) continue;
    if (host->expected) {
      unexpected.push_back(host->name + " ended with status " +
                           std::to_string(host->process.exit_status().value_or(0)));
    }
    StartHost(*host);
  }
  return unexpected;
}

std::vector<std::string> Fleet::KillOverdue() {
  std::vector<std::string> overdue;
  const TimePoint now = MonotonicClock::now();
  for (const auto& host : hosts_) {
    if (!host->stop_bound || now < *host->stop_bound || !host->process.Running()) continue;
    overdue.push_back(host->name + " still ran at the end of its grace time");
    Signal(*host, SIGKILL);
    host->stop_bound.reset();
  }
  return overdue;
}

void Fleet::Register(Backend& backend, const std::string& state) {
  if (!backend.registered) backend.born = ++version_;
  backend.registered = true;
  backend.left.reset();
  if (state == "draining") backend.left = MonotonicClock::now();
  PutEntry(backend,
           fmt::format(R"({{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":8,)"
                       R"("State":"{}","WarmupLeftMs":0,"Seq":1,"born":{}}})",
                       backend.server->service(), backend.link->address(), backend.data_centre,
                       state, backend.born));
}

void Fleet::Unregister(Backend& backend) {
  backend.registered = false;
  backend.left = MonotonicClock::now();
  PutEntry(backend, std::nullopt);
}

void Fleet::PutEntry(Backend& backend, std::optional<std::string> entry) {
  backend.entry = std::move(entry);
  WriteAgain(backend);
}

void Fleet::WriteAgain(const Backend& backend) {
  store_.Put("keyed.servers", backend.server->id(), backend.entry);
}

void Fleet::Configure(const std::string& write_service) {
  write_service_ = write_service;
  std::string text = fmt::format(R"({{"Version":"r{}","Resources":[)", ++version_);
  text += Route("read", "safe", "alpha") + "," + Route("write", "unsafe", write_service);
  for (const char* service : kServices) {
    text += fmt::format(
        R"(,{{"ResourceType":"Services","Metadata":{{"Name":"{}"}},"Spec":{{"HealthPath":"/health",)"
        R"("MaxConnections":220,"WarmupS":1.0,"WarmupPerS":50.0}}}})",
        service);
  }
  if (workspace_) {
    text += fmt::format(
        R"(,{{"ResourceType":"Tenants","Metadata":{{"Name":"{}"}},"Spec":{{"ApiKeys":["{}"],)"
        R"("Priority":{}}}}})",
        workspace_->name, kCallerKey, workspace_->priority);
  }
  text += R"(,{"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":8000,)"
          R"("MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}]})";
  PutOperator("config", text);
}

void Fleet::ConfigureWorkspace(std::optional<Workspace> workspace) {
  workspace_ = std::move(workspace);
  Configure(write_service_);
}

void Fleet::SetOut(const std::string& data_centre, bool out) {
  std::optional<std::string> value;
  if (out) value = "{}";
  PutOperator("evacuate/" + data_centre, value);
}

void Fleet::PutOperator(const std::string& key, const std::optional<std::string>& value) {
  operator_writes_[key] = value;
  store_.Put("keyed.op", key, value);
}

void Fleet::SaveCopy() {
  operator_writes_.clear();
  store_.SaveCopy();
}

void Fleet::WriteOperatorAgain() {
  for (const auto& [key, value] : operator_writes_) store_.Put("keyed.op", key, value);
}

}  // namespace mulberry::soak
