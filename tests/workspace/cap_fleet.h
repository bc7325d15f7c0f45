#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "libworkspace/workspace.h"

namespace mulberry::workspace {

/// Hosts of three data centres that enforce rate limits with CapLimiter, and the datagrams between
/// them, in simulated time. Counts the sends to servers over all hosts.
class CapFleet {
 public:
  static constexpr std::size_t kDataCentres = 3;
  static constexpr std::size_t kHostsPerDataCentre = 3;
  static constexpr std::size_t kHosts = kDataCentres * kHostsPerDataCentre;
  /// The hosts that callers are told: the first two of each data centre.
  static constexpr std::size_t kAdvertised = 2 * kDataCentres;

  struct Network {
    double loss = 0;
    double duplicates = 0;
    Duration max_extra_delay{};
  };
  struct Counts {
    std::vector<TimePoint> sends;
    std::size_t arrivals = 0;
    std::size_t refused = 0;
    /// Arrivals that one token bucket of the whole cap would have admitted.
    std::size_t reference = 0;
    /// Of these, those that were sent.
    std::size_t reference_sent = 0;
    std::unique_ptr<TokenBucket> bucket;
  };

  CapFleet(std::uint64_t seed, std::vector<Workspace> workspaces, bool first_start = true)
      : random_(seed), workspaces_(std::move(workspaces)) {
    limits_ = {std::chrono::seconds(5), 0.1, 20};
    hosts_.resize(kHosts);
    for (std::size_t i = 0; i < kHosts; ++i) Start(i, first_start);
    for (const Workspace& workspace : workspaces_) AddReference(workspace);
  }

  /// Index of a host: rank 0 of each data centre comes first, then rank 1, then rank 2. Rank 0 is
  /// the lender, ranks 0 and 1 are advertised.
  static HostName NameOf(std::size_t host) { return HostName("h" + std::to_string(host)); }

  TimePoint now() const { return now_; }
  Network& network() { return network_; }
  Counts& counts(const std::string& workspace) { return counts_[WorkspaceName(workspace)]; }

  void At(Duration after, std::function<void()> event) {
    events_.push({now_ + after, next_event_++, std::move(event)});
  }
  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  /// Requests of a workspace as a Poisson process over `duration`, at hosts [0, `hosts`).
  void Load(const std::string& workspace, double rate, Duration duration,
            std::size_t hosts = kAdvertised) {
    double seconds = 0;
    const double end = std::chrono::duration<double>(duration).count();
    while ((seconds += std::exponential_distribution<double>(rate)(random_)) < end) {
      At(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
         [this, hosts, name = WorkspaceName(workspace)] { Arrive(name, random_() % hosts); });
    }
  }

  /// Starts a host with empty buckets; calls that wait there are lost.
  void Start(std::size_t index, bool first_start = false) {
    Host& host = hosts_[index];
    host = {};
    host.up = true;
    host.start = StartId(random_());
    host.limiter = std::make_unique<CapLimiter>(host.start);
    host.limiter->SetLimits(limits_, TimeAt(host));
    CapRoles roles;
    const std::size_t data_centre = index % kDataCentres;
    for (std::size_t i = 0; i < kDataCentres; ++i) {
      roles.lenders.push_back(NameOf((data_centre + i) % kDataCentres));
    }
    if (index < kDataCentres) roles.own_lender = 0;
    roles.floor_hosts = kAdvertised;
    roles.has_floor = index < kAdvertised;
    host.limiter->SetRoles(roles, first_start, TimeAt(host));
    host.limiter->SetWorkspaces(workspaces_, TimeAt(host));
    Tick(index, host.start, 0);
  }
  void Kill(std::size_t index) { hosts_[index].up = false; }
  /// The process does nothing, and what arrives meanwhile waits for it.
  void Freeze(std::size_t index, Duration duration) {
    hosts_[index].frozen_until = now_ + duration;
  }
  /// The same, and the clock that does not count suspended time stops.
  void Suspend(std::size_t index, Duration duration) {
    Freeze(index, duration);
    hosts_[index].suspended += duration;
  }
  /// Datagrams from and to the host are lost.
  void CutOff(std::size_t index, bool cut_off) { hosts_[index].cut_off = cut_off; }
  /// Each host adopts the configuration within `spread`.
  void Configure(const std::vector<Workspace>& workspaces, Duration spread) {
    workspaces_ = workspaces;
    for (const Workspace& workspace : workspaces) AddReference(workspace);
    for (std::size_t i = 0; i < kHosts; ++i) {
      At(spread * static_cast<int>(i) / static_cast<int>(kHosts), [this, i, workspaces] {
        hosts_[i].limiter->SetWorkspaces(workspaces, TimeAt(hosts_[i]));
      });
    }
  }
  CapLimiter& limiter(std::size_t host) { return *hosts_[host].limiter; }

  /// Maximum number of sends in a window of 5 s that begins at `from` or later.
  std::size_t MaxSends(const std::string& workspace, TimePoint from = {}) {
    std::vector<TimePoint> sends = counts(workspace).sends;
    std::sort(sends.begin(), sends.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] >= limits_.window || sends[first] < from) {
        if (first == last) break;
        ++first;
      }
      if (sends[first] >= from) most = std::max(most, last - first + 1);
    }
    return most;
  }
  std::size_t Limit(const Workspace& workspace) const {
    const double seconds = std::chrono::duration<double>(limits_.window).count();
    return static_cast<std::size_t>(
        (workspace.rate_per_s * seconds + workspace.burst) * (1 + limits_.overage) + limits_.slack);
  }
  std::size_t datagrams() const { return datagrams_; }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Waiter {
    TimePoint until;
    bool in_reference = false;
  };
  struct Host {
    bool up = false;
    bool cut_off = false;
    TimePoint frozen_until;
    Duration suspended{};
    StartId start;
    std::unique_ptr<CapLimiter> limiter;
    std::map<WorkspaceName, std::deque<Waiter>> waiting;
  };

  void AddReference(const Workspace& workspace) {
    std::unique_ptr<TokenBucket>& bucket = counts_[workspace.name].bucket;
    const BucketLimits limits{workspace.rate_per_s, workspace.burst, workspace.burst};
    if (bucket != nullptr) {
      bucket->SetLimits(limits, now_);
    } else {
      bucket = std::make_unique<TokenBucket>(limits, now_, now_);
    }
  }
  CapTime TimeAt(const Host& host) const { return {now_, now_ - host.suspended}; }

  void Arrive(const WorkspaceName& name, std::size_t index) {
    Host& host = hosts_[index];
    if (!host.up) return Arrive(name, (index + 1) % kAdvertised);
    if (now_ < host.frozen_until) {
      return At(host.frozen_until - now_, [this, name, index] { Arrive(name, index); });
    }
    Counts& count = counts_[name];
    ++count.arrivals;
    const bool in_reference = count.bucket != nullptr && count.bucket->Take(1, now_) == 1;
    if (in_reference) ++count.reference;
    host.limiter->OnDemand(name, TimeAt(host));
    Decide(host, name, {now_ + std::chrono::milliseconds(40), in_reference});
    SendQueries(index, false);
  }
  void Decide(Host& host, const WorkspaceName& name, const Waiter& waiter) {
    Counts& count = counts_[name];
    const CapTime time = TimeAt(host);
    const auto step = host.limiter->Decide(name, time).step;
    if (step == CapDecision::Step::kSend && host.limiter->Take(name, time)) {
      count.sends.push_back(now_);
      if (waiter.in_reference) ++count.reference_sent;
    } else if (step == CapDecision::Step::kWait && now_ < waiter.until) {
      std::deque<Waiter>& waiting = host.waiting[name];
      waiting.push_back(waiter);
      host.limiter->SetWaiting(name, static_cast<std::uint32_t>(waiting.size()));
    } else {
      ++count.refused;
    }
  }
  void DecideAgain(Host& host, const WorkspaceName& name) {
    host.limiter->SetWaiting(name, 0);
    for (const Waiter& waiter : std::exchange(host.waiting[name], {})) Decide(host, name, waiter);
  }
  void Tick(std::size_t index, StartId start, std::uint32_t number) {
    Host& host = hosts_[index];
    if (!host.up || host.start != start) return;
    const Duration frozen = std::max(Duration::zero(), host.frozen_until - now_);
    if (frozen == Duration::zero()) {
      for (auto& [name, waiting] : host.waiting) {
        if (!waiting.empty()) DecideAgain(host, name);
      }
      SendQueries(index, number % 10 == 0);
    }
    At(frozen + std::chrono::milliseconds(5),
       [this, index, start, number] { Tick(index, start, number + 1); });
  }
  void SendQueries(std::size_t index, bool ahead) {
    Host& host = hosts_[index];
    for (const CapLimiter::Query& query : host.limiter->TakeQueries(ahead, TimeAt(host))) {
      const std::size_t lender = std::stoul(query.lender.str().substr(1));
      Transmit(index, lender, [this, index, lender, start = host.start, query = query.query] {
        Host& receiver = hosts_[lender];
        const auto grant = receiver.limiter->OnQuery(NameOf(index), start, query, TimeAt(receiver));
        if (!grant) return;
        Transmit(lender, index, [this, index, lender, grant = *grant] {
          Host& asker = hosts_[index];
          for (const WorkspaceName& name :
               asker.limiter->OnGrant(NameOf(lender), grant, TimeAt(asker))) {
            DecideAgain(asker, name);
          }
          SendQueries(index, false);
        });
      });
    }
  }
  /// Delivers a datagram after its delay, never, or twice.
  void Transmit(std::size_t from, std::size_t to, const std::function<void()>& arrive) {
    ++datagrams_;
    std::uniform_real_distribution<double> random(0, 1);
    const int copies = random(random_) < network_.duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (hosts_[from].cut_off || hosts_[to].cut_off || random(random_) < network_.loss) continue;
      const bool near = from % kDataCentres == to % kDataCentres;
      const Duration delay =
          std::chrono::microseconds(near ? 200 : 2000) +
          Duration(static_cast<std::int64_t>(
              random(random_) * static_cast<double>(network_.max_extra_delay.count())));
      At(delay, [this, to, arrive] { Deliver(to, arrive); });
    }
  }
  void Deliver(std::size_t to, const std::function<void()>& arrive) {
    if (!hosts_[to].up || hosts_[to].cut_off) return;
    if (now_ < hosts_[to].frozen_until) {
      return At(hosts_[to].frozen_until - now_, [this, to, arrive] { Deliver(to, arrive); });
    }
    arrive();
  }

  std::mt19937_64 random_;
  std::vector<Workspace> workspaces_;
  CapLimits limits_;
  Network network_;
  std::vector<Host> hosts_;
  std::map<WorkspaceName, Counts> counts_;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::size_t datagrams_ = 0;
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace mulberry::workspace
