#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libfleet/fleet.h"

namespace mulberry {

/// One fault of a schedule. Hosts are numbered from 0.
struct Fault {
  enum class Kind { kCrash, kRestart, kPause, kCutLink, kIsolate, kDelist, kList, kLeave };
  Kind kind = Kind::kCrash;
  std::uint32_t at_ms = 0;
  std::uint32_t host = 0;
  std::uint32_t other = 0;
  std::uint32_t lasts_ms = 0;
};

/// A part of the rules that the model leaves out, to show that the property needs it.
enum class LeaseMutation { kNone, kNoLeaseCheck, kNoReducedWait };

struct LeaseModelOptions {
  std::uint32_t hosts = 5;
  std::uint32_t seed = 1;
  std::uint32_t loss_percent = 5;
  /// Messages that take up to 1.5 s, so that later ones overtake them.
  std::uint32_t slow_percent = 10;
  /// Faults start before this time; after it the fleet heals.
  std::uint32_t faults_ms = 20000;
  std::uint32_t heal_ms = 15000;
  /// Viewers' lists are at most so many changes behind the platform's.
  std::uint32_t list_lag = 1;
  /// Running hosts that the platform's list may lack at a time; none when it lags.
  std::uint32_t wrongly_unlisted = 1;
  LeaseMutation mutation = LeaseMutation::kNone;
};

struct PhaseChange {
  std::uint32_t at_ms = 0;
  Incarnation host;
  LeasePhase phase = LeasePhase::kNone;
};

/// What a run of the model showed.
struct LeaseModelResult {
  double worst_cold = 0;  ///< Highest sum of the cold shares in use at one instant.
  std::uint32_t worst_at_ms = 0;
  std::uint32_t full_at_end = 0;  ///< Hosts that hold the full lease after healing.
  bool preferred_at_end = false;  ///< The first host in rendezvous order holds it.
  std::uint32_t idle_ms = 0;      ///< Time in which no host might start requests, before healing.
  std::vector<PhaseChange> changes;
};

/// Several entry hosts in one data centre and one group, in virtual time: real Membership,
/// LeaseHolder and LeaseGrantor of each, a network that loses, delays, repeats and reorders
/// messages, and a platform whose list each host reads late. Not thread safe.
class LeaseModel {
 public:
  LeaseModel(LeaseModelOptions options, std::vector<Fault> faults);

  /// Runs the schedule once.
  LeaseModelResult Run();

 private:
  /// A cold share that a host used at a time; its requests can run until max_request_time later.
  struct Use {
    TimePoint at;
    double share;
  };
  struct Node {
    Incarnation self;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<LeaseHolder> holder;
    std::unique_ptr<LeaseGrantor> grantor;
    TimePoint paused_until;
    TimePoint last_event;
    TimePoint drains_since = TimePoint::max();
    std::size_t list_version = 0;
    bool leaving = false;
    LeasePhase phase = LeasePhase::kNone;
    bool running() const { return membership != nullptr; }
  };
  struct Mail {
    std::uint32_t to;
    PeerEnvelope envelope;
  };

  HostName NameOf(std::uint32_t host) const { return HostName("host-" + std::to_string(host)); }
  std::uint32_t Random(std::uint32_t below) { return below == 0 ? 0 : random_() % below; }
  void Start(std::uint32_t host);
  void Apply(const Fault& fault);
  void ChangeList(std::uint32_t host, bool listed);
  bool MayDelist(std::uint32_t host) const;
  void ReadList(Node* node);
  void Heal();
  void Step(std::uint32_t host);
  void SendHeartbeats(std::uint32_t host);
  void Send(std::uint32_t from, const HostName& to, const PeerMessage& message);
  void Deliver();
  void OnMail(Node* node, const PeerEnvelope& envelope);
  std::vector<LeaseGrant> GrantsFor(Node* node, const Incarnation& candidate,
                                    const std::vector<GroupKey>& wanted);
  void Drain(std::uint32_t host);
  LeasePhase PhaseOf(const Node& node) const;
  void Observe(LeaseModelResult* result);

  LeaseModelOptions options_;
  std::vector<Fault> faults_;
  LeaseOptions lease_options_;
  GroupKey group_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint start_ = now_;
  std::mt19937 random_;
  std::vector<Node> nodes_;
  std::vector<std::vector<EntryHostEntry>> lists_;
  std::multimap<TimePoint, Mail> mail_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> cut_until_;
  std::map<StartId, std::deque<Use>> uses_;
  std::uint64_t next_start_ = 1;
};

}  // namespace mulberry
