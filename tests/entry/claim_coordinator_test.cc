#include "libentry/claim_coordinator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mulberry {
namespace {

using std::chrono::milliseconds;

constexpr WallTime kWallStart{milliseconds(1'000'000)};
const IdempotencyKey test_key("key");

/// Three claim coordinators that are each other's claim holders, on a simulated network.
class ClaimCluster {
 public:
  struct Packet {
    std::string from;
    StartId from_start;
    std::string to;
    PeerMessage message;
  };

  ClaimCluster() {
    for (std::size_t i = 0; i < kClaimHolders; ++i) {
      Restart(NameOf(i));
      ticket_.holders[i] = self_.at(NameOf(i));
      ticket_.peer_addresses[i] = NameOf(i);
    }
    ticket_.expires = kWallStart + milliseconds(60'000);
  }

  static std::string NameOf(std::size_t i) { return "h" + std::to_string(i); }

  void Restart(const std::string& name) {
    self_[name] = {HostName(name), StartId(++starts_)};
    coordinators_[name] =
        std::make_unique<ClaimCoordinator>(self_[name], ClaimHolderOptions(), starts_);
    won_requests_.erase(name);
  }

  RequestId Begin(const std::string& name, std::uint64_t digest = 1) {
    const RequestId id(++requests_);
    ClaimEvents events;
    coordinators_.at(name)->Begin(id, test_key, ticket_, digest, now_.mono + milliseconds(2000),
                                  now_, events);
    HandleEvents(name, std::move(events));
    return id;
  }

  void Finish(const std::string& name, const CallerAnswer& answer) {
    if (won_requests_.erase(name) == 0) {
      return;
    }
    ran_ = ran_ || answer.outcome != RunOutcome::kNotRun;
    ClaimEvents events;
    coordinators_.at(name)->Finish(test_key, answer, now_, events);
    HandleEvents(name, std::move(events));
  }

  void Deliver(std::size_t index) {
    const Packet packet = network_.at(index);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    ClaimCoordinator& coordinator = *coordinators_.at(packet.to);
    const Incarnation from{HostName(packet.from), packet.from_start};
    ClaimEvents events;
    if (const auto* claim = std::get_if<ClaimRequest>(&packet.message)) {
      coordinator.OnClaimRequest(from, *claim, now_, events);
    } else if (const auto* answer = std::get_if<ClaimAnswer>(&packet.message)) {
      coordinator.OnClaimAnswer(from, *answer, now_, events);
    } else if (const auto* release = std::get_if<ClaimRelease>(&packet.message)) {
      coordinator.OnClaimRelease(from, *release);
    } else if (const auto* query = std::get_if<OutcomeQuery>(&packet.message)) {
      coordinator.OnOutcomeQuery(from, *query, now_, events);
    } else if (const auto* outcome = std::get_if<OutcomeAnswer>(&packet.message)) {
      coordinator.OnOutcomeAnswer(*outcome, events);
    }
    HandleEvents(packet.to, std::move(events));
  }

  void DeliverAll() {
    while (!network_.empty()) {
      Deliver(0);
    }
  }

  void Drop(std::size_t index) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void AdvanceTime(Duration time) {
    now_.mono += time;
    now_.wall += std::chrono::duration_cast<milliseconds>(time);
    for (auto& [name, coordinator] : coordinators_) {
      ClaimEvents events;
      coordinator->Tick(now_, events);
      HandleEvents(name, std::move(events));
    }
  }

  std::size_t in_flight() const { return network_.size(); }
  bool ran() const { return ran_; }
  std::size_t wins() const { return wins_; }
  bool holds_claim(const std::string& name) const { return won_requests_.contains(name); }
  const std::map<RequestId, CallerAnswer>& answers() const { return answers_; }

 private:
  void HandleEvents(const std::string& name, ClaimEvents events) {
    for (ClaimEvent& event : events) {
      if (auto* send = std::get_if<SendPeer>(&event)) {
        network_.push_back({name, self_.at(name).start, send->host.str(), send->message});
      } else if (const auto* won = std::get_if<ClaimWon>(&event)) {
        ++wins_;
        won_requests_[name] = won->request;
      } else if (auto* ended = std::get_if<ClaimEnded>(&event)) {
        answers_[ended->request] = ended->answer;
      }
    }
  }

  Ticket ticket_;
  std::map<std::string, Incarnation> self_;
  std::map<std::string, std::unique_ptr<ClaimCoordinator>> coordinators_;
  std::map<std::string, RequestId> won_requests_;
  std::map<RequestId, CallerAnswer> answers_;
  std::deque<Packet> network_;
  Instant now_{TimePoint(Duration(1)), kWallStart};
  std::uint64_t starts_ = 0;
  std::uint64_t requests_ = 0;
  std::size_t wins_ = 0;
  bool ran_ = false;
};

CallerAnswer Answered() {
  CallerAnswer answer;
  answer.outcome = RunOutcome::kAnswered;
  answer.status = 200;
  answer.body = "done";
  return answer;
}

}  // namespace

TEST_CASE("of two attempts on two hosts one wins the claim and the other gets its answer") {
  ClaimCluster cluster;
  cluster.Begin("h0");
  cluster.DeliverAll();
  const RequestId second = cluster.Begin("h1");
  cluster.DeliverAll();
  CHECK(cluster.wins() == 1);
  CHECK(!cluster.answers().contains(second));
  cluster.Finish("h0", Answered());
  cluster.DeliverAll();
  REQUIRE(cluster.answers().contains(second));
  CHECK(cluster.answers().at(second).body == "done");
}

// Another host of an older version may pass on a status that no server may send.
TEST_CASE("the outcome of a claimed request with an invalid status counts as unknown") {
  for (const int status : {0, 99, 103, 600}) {
    CAPTURE(status);
    ClaimCluster cluster;
    cluster.Begin("h0");
    cluster.DeliverAll();
    const RequestId second = cluster.Begin("h1");
    cluster.DeliverAll();
    CallerAnswer invalid = Answered();
    invalid.status = status;
    cluster.Finish("h0", invalid);
    cluster.DeliverAll();
    REQUIRE(cluster.answers().contains(second));
    CHECK(cluster.answers().at(second).outcome == RunOutcome::kMayHaveRun);
    CHECK(cluster.answers().at(second).status == 504);
    CHECK(cluster.answers().at(second).body.empty());
  }
}

TEST_CASE("not-run is reported to every attempt and prevents later ones from running") {
  ClaimCluster cluster;
  cluster.Begin("h0");
  cluster.DeliverAll();
  cluster.Finish("h0", UnansweredAnswer(RunOutcome::kNotRun, 503, "queue_full"));
  const RequestId later = cluster.Begin("h2");
  const RequestId same_host = cluster.Begin("h0");
  cluster.DeliverAll();
  CHECK(cluster.wins() == 1);
  CHECK(cluster.answers().at(later).outcome == RunOutcome::kNotRun);
  CHECK(cluster.answers().at(same_host).outcome == RunOutcome::kNotRun);
}

TEST_CASE("an attempt after a restart of the claimant reports may-have-run") {
  ClaimCluster cluster;
  cluster.Begin("h0");
  cluster.DeliverAll();
  cluster.Restart("h0");
  const RequestId later = cluster.Begin("h1");
  cluster.DeliverAll();
  CHECK(cluster.wins() == 1);
  CHECK(cluster.answers().at(later).outcome == RunOutcome::kMayHaveRun);
}

TEST_CASE("a different request with a used key is refused") {
  ClaimCluster cluster;
  cluster.Begin("h0");
  cluster.DeliverAll();
  cluster.Finish("h0", Answered());
  const RequestId other = cluster.Begin("h0", 2);
  const RequestId elsewhere = cluster.Begin("h1", 2);
  cluster.DeliverAll();
  CHECK(cluster.answers().at(other).reason == "key_reused");
  CHECK(cluster.answers().at(elsewhere).reason == "key_reused");
}

TEST_CASE("no host runs the request without answers from two claim holders") {
  ClaimCluster cluster;
  const RequestId id = cluster.Begin("h0");
  while (cluster.in_flight() > 0) {
    cluster.Drop(0);
  }
  for (int i = 0; i < 60; ++i) {
    cluster.AdvanceTime(milliseconds(50));
    while (cluster.in_flight() > 0) {
      cluster.Drop(0);
    }
  }
  CHECK(cluster.wins() == 0);
  CHECK(cluster.answers().at(id).reason == "claim_undecided");
}

TEST_CASE(
    "under loss, delay, restarts and races a key runs at most once and not-run is never false") {
  rc::check("claim coordinators", [] {
    ClaimCluster cluster;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 1000)));
    std::size_t runs = 0;
    for (const auto& [kind, choice] : steps) {
      const std::string host =
          ClaimCluster::NameOf(static_cast<std::size_t>(choice) % kClaimHolders);
      const auto index = static_cast<std::size_t>(choice);
      if (kind < 3) {
        cluster.Begin(host);
      } else if (kind == 3) {
        cluster.Restart(host);
      } else if (kind == 4 && cluster.in_flight() > 0) {
        cluster.Drop(index % cluster.in_flight());
      } else if (kind == 5) {
        cluster.AdvanceTime(milliseconds(1 + choice % 200));
      } else if (kind == 6) {
        runs += cluster.holds_claim(host) ? 1 : 0;
        cluster.Finish(host, Answered());
      } else if (kind == 7) {
        cluster.Finish(host, UnansweredAnswer(RunOutcome::kNotRun, 503, "queue_full"));
      } else if (cluster.in_flight() > 0) {
        cluster.Deliver(index % cluster.in_flight());
      }
      RC_ASSERT(cluster.wins() <= 1U);
      RC_ASSERT(runs <= 1U);
      for (const auto& [id, answer] : cluster.answers()) {
        RC_ASSERT(!(answer.outcome == RunOutcome::kNotRun && cluster.ran()));
      }
    }
  });
}

}  // namespace mulberry
