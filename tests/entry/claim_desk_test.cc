#include "libentry/claim_desk.h"

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

/// Three desks that are each other's claim holders, with a network that the test controls.
class DeskTrio {
 public:
  struct Packet {
    std::string from;
    StartId from_start;
    std::string to;
    PeerMessage message;
  };

  DeskTrio() {
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
    desks_[name] = std::make_unique<ClaimDesk>(self_[name], ClaimHolderOptions(), starts_);
    won_.erase(name);
  }

  RequestId Begin(const std::string& name, std::uint64_t digest = 1) {
    const RequestId id(++requests_);
    ClaimEvents events;
    desks_.at(name)->Begin(id, test_key, ticket_, digest, now_.mono + milliseconds(2000), now_,
                           events);
    Take(name, std::move(events));
    return id;
  }

  void Finish(const std::string& name, const CallerAnswer& answer) {
    if (won_.erase(name) == 0) {
      return;
    }
    ran_ = ran_ || answer.outcome != RunOutcome::kNotRun;
    ClaimEvents events;
    desks_.at(name)->Finish(test_key, answer, now_, events);
    Take(name, std::move(events));
  }

  void Deliver(std::size_t index) {
    const Packet packet = network_.at(index);
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
    ClaimDesk& desk = *desks_.at(packet.to);
    const Incarnation from{HostName(packet.from), packet.from_start};
    ClaimEvents events;
    if (const auto* claim = std::get_if<ClaimRequest>(&packet.message)) {
      desk.OnClaimRequest(from, *claim, now_, events);
    } else if (const auto* answer = std::get_if<ClaimAnswer>(&packet.message)) {
      desk.OnClaimAnswer(from, *answer, now_, events);
    } else if (const auto* release = std::get_if<ClaimRelease>(&packet.message)) {
      desk.OnClaimRelease(from, *release);
    } else if (const auto* query = std::get_if<OutcomeQuery>(&packet.message)) {
      desk.OnOutcomeQuery(from, *query, now_, events);
    } else if (const auto* outcome = std::get_if<OutcomeAnswer>(&packet.message)) {
      desk.OnOutcomeAnswer(*outcome, events);
    }
    Take(packet.to, std::move(events));
  }

  void DeliverAll() {
    while (!network_.empty()) {
      Deliver(0);
    }
  }

  void Drop(std::size_t index) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void Pass(Duration time) {
    now_.mono += time;
    now_.wall += std::chrono::duration_cast<milliseconds>(time);
    for (auto& [name, desk] : desks_) {
      ClaimEvents events;
      desk->Tick(now_, events);
      Take(name, std::move(events));
    }
  }

  std::size_t in_flight() const { return network_.size(); }
  bool ran() const { return ran_; }
  std::size_t wins() const { return wins_; }
  bool holds(const std::string& name) const { return won_.contains(name); }
  const std::map<RequestId, CallerAnswer>& answers() const { return answers_; }

 private:
  void Take(const std::string& name, ClaimEvents events) {
    for (ClaimEvent& event : events) {
      if (auto* send = std::get_if<SendPeer>(&event)) {
        network_.push_back({name, self_.at(name).start, send->host.str(), send->message});
      } else if (const auto* won = std::get_if<ClaimWon>(&event)) {
        ++wins_;
        won_[name] = won->request;
      } else if (auto* ended = std::get_if<ClaimEnded>(&event)) {
        answers_[ended->request] = ended->answer;
      }
    }
  }

  Ticket ticket_;
  std::map<std::string, Incarnation> self_;
  std::map<std::string, std::unique_ptr<ClaimDesk>> desks_;
  std::map<std::string, RequestId> won_;
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

TEST_CASE("of two attempts through two hosts one wins and the other gets its answer") {
  DeskTrio trio;
  trio.Begin("h0");
  trio.DeliverAll();
  const RequestId second = trio.Begin("h1");
  trio.DeliverAll();
  CHECK(trio.wins() == 1);
  CHECK(!trio.answers().contains(second));
  trio.Finish("h0", Answered());
  trio.DeliverAll();
  REQUIRE(trio.answers().contains(second));
  CHECK(trio.answers().at(second).body == "done");
}

TEST_CASE("not run is told to every attempt and bars later ones") {
  DeskTrio trio;
  trio.Begin("h0");
  trio.DeliverAll();
  trio.Finish("h0", UnansweredAnswer(RunOutcome::kNotRun, 503, "queue_full"));
  const RequestId later = trio.Begin("h2");
  const RequestId same_host = trio.Begin("h0");
  trio.DeliverAll();
  CHECK(trio.wins() == 1);
  CHECK(trio.answers().at(later).outcome == RunOutcome::kNotRun);
  CHECK(trio.answers().at(same_host).outcome == RunOutcome::kNotRun);
}

TEST_CASE("an attempt after the claimant died may have run") {
  DeskTrio trio;
  trio.Begin("h0");
  trio.DeliverAll();
  trio.Restart("h0");
  const RequestId later = trio.Begin("h1");
  trio.DeliverAll();
  CHECK(trio.wins() == 1);
  CHECK(trio.answers().at(later).outcome == RunOutcome::kMayHaveRun);
}

TEST_CASE("another request under a used key is refused") {
  DeskTrio trio;
  trio.Begin("h0");
  trio.DeliverAll();
  trio.Finish("h0", Answered());
  const RequestId other = trio.Begin("h0", 2);
  const RequestId elsewhere = trio.Begin("h1", 2);
  trio.DeliverAll();
  CHECK(trio.answers().at(other).reason == "key_reused");
  CHECK(trio.answers().at(elsewhere).reason == "key_reused");
}

TEST_CASE("without two holders nobody runs the request") {
  DeskTrio trio;
  const RequestId id = trio.Begin("h0");
  while (trio.in_flight() > 0) {
    trio.Drop(0);
  }
  for (int i = 0; i < 60; ++i) {
    trio.Pass(milliseconds(50));
    while (trio.in_flight() > 0) {
      trio.Drop(0);
    }
  }
  CHECK(trio.wins() == 0);
  CHECK(trio.answers().at(id).reason == "claim_undecided");
}

TEST_CASE("under loss, delay, restarts and races a key runs at most once and not run is true") {
  rc::check("claim desks", [] {
    DeskTrio trio;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 1000)));
    std::size_t runs = 0;
    for (const auto& [kind, pick] : steps) {
      const std::string host = DeskTrio::NameOf(static_cast<std::size_t>(pick) % kClaimHolders);
      const auto index = static_cast<std::size_t>(pick);
      if (kind < 3) {
        trio.Begin(host);
      } else if (kind == 3) {
        trio.Restart(host);
      } else if (kind == 4 && trio.in_flight() > 0) {
        trio.Drop(index % trio.in_flight());
      } else if (kind == 5) {
        trio.Pass(milliseconds(1 + pick % 200));
      } else if (kind == 6) {
        runs += trio.holds(host) ? 1 : 0;
        trio.Finish(host, Answered());
      } else if (kind == 7) {
        trio.Finish(host, UnansweredAnswer(RunOutcome::kNotRun, 503, "queue_full"));
      } else if (trio.in_flight() > 0) {
        trio.Deliver(index % trio.in_flight());
      }
      RC_ASSERT(trio.wins() <= 1U);
      RC_ASSERT(runs <= 1U);
      for (const auto& [id, answer] : trio.answers()) {
        RC_ASSERT(!(answer.outcome == RunOutcome::kNotRun && trio.ran()));
      }
    }
  });
}

}  // namespace mulberry
