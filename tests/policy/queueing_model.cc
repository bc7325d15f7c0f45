#include "queueing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <unordered_map>

namespace mulberry {
namespace {

struct Event {
  enum class Kind { kArrival, kDone, kBurst, kTick };
  TimePoint at;
  std::uint64_t sequence;
  Kind kind;
  std::uint32_t server;
  std::uint64_t job;
  std::uint64_t version;
  bool operator>(const Event& o) const {
    return std::tie(at, sequence) > std::tie(o.at, o.sequence);
  }
};

struct Job {
  std::uint64_t id;
  double work_us;
  TimePoint updated_at;
  std::uint64_t version = 0;
};

struct Server {
  std::vector<Job> running;
  std::deque<Job> waiting;
  bool slow = false;
};

Duration Micros(double us) { return Duration(static_cast<std::int64_t>(us)); }

class Model {
 public:
  Model(BalancingAlgorithm algorithm, const ModelOptions& options)
      : algorithm_(algorithm),
        options_(options),
        arrival_random_(options.seed),
        burst_random_(options.seed + 1000),
        choice_random_(options.seed + 2000),
        servers_(options.servers),
        next_server_(options.entry_hosts),
        in_flight_(options.entry_hosts, std::vector<int>(options.servers)),
        dispatcher_(options.dispatcher) {
    for (std::uint64_t& server : next_server_) server = choice_random_();
  }

  ModelResult Run() {
    const TimePoint end = TimePoint() + Micros(options_.seconds * 1e6);
    ConfigureDispatcher();
    Push(TimePoint(), Event::Kind::kArrival);
    for (std::uint32_t s = 0; s < servers_.size(); ++s) {
      Push(TimePoint() + Micros(DrawExponential(burst_random_, options_.between_bursts_ms * 1000)),
           Event::Kind::kBurst, s);
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      const bool over = now_ > end;
      if (over && open_requests_ == 0) break;
      if (event.kind == Event::Kind::kArrival && !over) HandleArrival();
      if (event.kind == Event::Kind::kDone) FinishJob(event);
      if (event.kind == Event::Kind::kBurst) ToggleSlow(event.server);
      if (event.kind == Event::Kind::kTick && event.version == tick_version_) {
        MeasurePolicyTime([&] { dispatcher_.Tick(now_, actions_); });
        ExecuteActions();
      }
    }
    std::sort(result_.latencies_ms.begin(), result_.latencies_ms.end());
    result_.stats = dispatcher_.Stats();
    result_.policy_us_per_request = policy_us_ / static_cast<double>(result_.submitted);
    return std::move(result_);
  }

 private:
  static double DrawExponential(std::mt19937_64& random, double mean) {
    return std::exponential_distribution<double>(1 / mean)(random);
  }

  void Push(TimePoint at, Event::Kind kind, std::uint32_t server = 0, std::uint64_t job = 0,
            std::uint64_t version = 0) {
    events_.push({at, ++last_sequence_, kind, server, job, version});
  }

  template <class Call>
  void MeasurePolicyTime(Call call) {
    const auto before = std::chrono::steady_clock::now();
    call();
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - before;
    policy_us_ += spent.count();
  }

  void ConfigureDispatcher() {
    std::vector<ServerInfo> infos;
    for (std::uint32_t s = 0; s < options_.servers; ++s) {
      infos.push_back({ServerName(std::to_string(s)), options_.slots, false, false});
    }
    dispatcher_.SetClasses({{ClassName("lookup"), true, options_.target, 0.99}}, now_, actions_);
    dispatcher_.SetServers(infos, now_, actions_);
    std::vector<ServerHandover> handovers;
    handovers.reserve(infos.size());
    for (const ServerInfo& info : infos) handovers.push_back({info.name, StartId(7), true, 0, {}});
    dispatcher_.ApplyHandovers(handovers, now_);
    dispatcher_.SetLimitShare(LimitShare::kFull, TimePoint::max(), now_, actions_);
  }

  double DrawWork() {
    const double mu =
        std::log(options_.mean_service_ms * 1000) - options_.sigma * options_.sigma / 2;
    return std::lognormal_distribution<double>(mu, options_.sigma)(arrival_random_);
  }

  void HandleArrival() {
    const double rate =
        options_.load * options_.servers * options_.slots / (options_.mean_service_ms * 1000);
    Push(now_ + Micros(DrawExponential(arrival_random_, 1 / rate)), Event::Kind::kArrival);
    const std::uint64_t id = ++result_.submitted;
    requests_[id] = {now_, DrawWork()};
    ++open_requests_;
    if (algorithm_ != BalancingAlgorithm::kDispatcher) return SendDirectly(id);
    RequestInfo request_info{RequestId(id), ClassName("lookup"), now_, now_ + options_.deadline};
    MeasurePolicyTime([&] { dispatcher_.Submit(request_info, now_, actions_); });
    ExecuteActions();
  }

  void SendDirectly(std::uint64_t id) {
    const auto host = static_cast<std::uint32_t>(id % options_.entry_hosts);
    auto server = static_cast<std::uint32_t>(next_server_[host]++ % servers_.size());
    if (algorithm_ == BalancingAlgorithm::kTwoChoices) {
      const auto one = static_cast<std::uint32_t>(choice_random_() % servers_.size());
      const auto two = static_cast<std::uint32_t>(choice_random_() % servers_.size());
      server = in_flight_[host][one] <= in_flight_[host][two] ? one : two;
    }
    ++in_flight_[host][server];
    AddJob(server, {id, requests_[id].work_us, now_});
  }

  void ExecuteActions() {
    const PolicyActions actions = std::move(actions_);
    actions_.clear();
    for (const PolicyAction& action : actions) {
      if (const auto* start = std::get_if<StartDispatch>(&action)) {
        const auto server = static_cast<std::uint32_t>(std::stoul(start->server.str()));
        // A further attempt gets a new random service time.
        double& work = requests_[start->request.value()].work_us;
        if (start->retry) work = DrawWork();
        job_server_[start->dispatch.value()] = server;
        AddJob(server, {start->dispatch.value(), work, now_});
      } else if (const auto* relay = std::get_if<RelayAnswer>(&action)) {
        Answer(relay->request.value());
      } else if (const auto* cancel = std::get_if<CancelDispatch>(&action)) {
        RemoveJob(job_server_[cancel->dispatch.value()], cancel->dispatch.value());
        Report(cancel->dispatch.value(), DispatchResult::kCancelled);
      } else if (!std::holds_alternative<StartProbe>(action)) {
        --open_requests_;
      }
    }
    if (!actions_.empty()) return ExecuteActions();
    const TimePoint next = dispatcher_.NextTick();
    if (next != TimePoint::max()) {
      Push(std::max(next, now_), Event::Kind::kTick, 0, 0, ++tick_version_);
    }
  }

  void Report(std::uint64_t dispatch, DispatchResult result) {
    DispatchReport report{DispatchId(dispatch), result, StartId(7), false};
    if (result == DispatchResult::kCancelled) report.server_start = StartId();
    MeasurePolicyTime([&] { dispatcher_.OnDispatchEnd(report, now_, actions_); });
  }

  void Answer(std::uint64_t id) {
    --open_requests_;
    const Duration latency = now_ - requests_[id].arrived;
    if (latency <= options_.target) ++result_.in_target;
    result_.latencies_ms.push_back(static_cast<double>(latency.count()) / 1000);
  }

  void AddJob(std::uint32_t s, Job job) {
    Server& server = servers_[s];
    if (server.running.size() >= options_.slots) return server.waiting.push_back(job);
    job.updated_at = now_;
    server.running.push_back(job);
    Schedule(s, server.running.back());
  }

  void Schedule(std::uint32_t s, Job& job) {
    const double factor = servers_[s].slow ? options_.slow_factor : 1;
    job.version = ++job_version_;
    Push(now_ + Micros(job.work_us * factor) + Duration(1), Event::Kind::kDone, s, job.id,
         job.version);
  }

  void ToggleSlow(std::uint32_t s) {
    Server& server = servers_[s];
    const double factor = server.slow ? options_.slow_factor : 1;
    for (Job& job : server.running) {
      job.work_us = std::max(
          0.0, job.work_us - static_cast<double>(Duration(now_ - job.updated_at).count()) / factor);
      job.updated_at = now_;
    }
    server.slow = !server.slow;
    for (Job& job : server.running) Schedule(s, job);
    const double length = server.slow
                              ? options_.burst_ms * 1000
                              : DrawExponential(burst_random_, options_.between_bursts_ms * 1000);
    Push(now_ + Micros(length), Event::Kind::kBurst, s);
  }

  bool RemoveJob(std::uint32_t s, std::uint64_t id, std::uint64_t version = 0) {
    Server& server = servers_[s];
    const auto count = std::erase_if(server.running, [&](const Job& job) {
      return job.id == id && (version == 0 || job.version == version);
    });
    if (count == 0) return false;
    if (!server.waiting.empty()) {
      const Job next = server.waiting.front();
      server.waiting.pop_front();
      AddJob(s, next);
    }
    return true;
  }

  void FinishJob(const Event& event) {
    if (!RemoveJob(event.server, event.job, event.version)) return;
    if (algorithm_ == BalancingAlgorithm::kDispatcher) {
      Report(event.job, DispatchResult::kAnswered);
      return ExecuteActions();
    }
    --in_flight_[event.job % options_.entry_hosts][event.server];
    Answer(event.job);
  }

  struct RequestRecord {
    TimePoint arrived;
    double work_us = 0;
  };

  BalancingAlgorithm algorithm_;
  ModelOptions options_;
  std::mt19937_64 arrival_random_;
  std::mt19937_64 burst_random_;
  std::mt19937_64 choice_random_;
  std::vector<Server> servers_;
  std::vector<std::uint64_t> next_server_;
  std::vector<std::vector<int>> in_flight_;
  GroupDispatcher dispatcher_;
  PolicyActions actions_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<std::uint64_t, RequestRecord> requests_;
  std::unordered_map<std::uint64_t, std::uint32_t> job_server_;
  TimePoint now_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t job_version_ = 0;
  std::uint64_t tick_version_ = 0;
  std::uint64_t open_requests_ = 0;
  double policy_us_ = 0;
  ModelResult result_;
};

}  // namespace

double ModelResult::Percentile(double p) const {
  if (latencies_ms.empty()) return 0;
  const auto index = static_cast<std::size_t>(p * static_cast<double>(latencies_ms.size() - 1));
  return latencies_ms[index];
}

ModelResult RunModel(BalancingAlgorithm algorithm, const ModelOptions& options) {
  return Model(algorithm, options).Run();
}

}  // namespace mulberry
