#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <variant>
#include <vector>

#include "libfleet/fleet.h"

namespace mulberry {
namespace {

const IdempotencyKey test_key("key");
constexpr WallTime kNow{std::chrono::seconds(1000)};
constexpr WallTime kExpires{std::chrono::seconds(1060)};

Incarnation Host(std::uint32_t number, std::uint64_t start) {
  return {HostName("host-" + std::to_string(number)), StartId(start)};
}

/// A part of the rules that the model leaves out, to show that the property needs it.
enum class ClaimMutation { kNone, kOneGrantWins, kHolderForgets };

struct Step {
  enum class Kind { kStart, kDeliver, kRepeat, kDrop, kTimeout, kRestartHolder, kRestartClaimant };
  Kind kind = Kind::kStart;
  std::uint32_t index = 0;
};

/// Hosts that race to run one request and the three holders of its key, with messages in any
/// order.
class ClaimModel {
 public:
  explicit ClaimModel(ClaimMutation mutation) : mutation_(mutation) {
    for (std::uint32_t i = 0; i < kClaimHolders; ++i) {
      named_[i] = Host(i, 1 + i);
      holders_.emplace_back(named_[i], ClaimHolderOptions());
      claimants_.push_back({Host(i + 10, next_start_++), 0, {}});
    }
  }

  /// Returns how many incarnations dispatched the request.
  std::size_t Run(const std::vector<Step>& steps) {
    for (const Step& step : steps) Take(step);
    return dispatched_.size();
  }

 private:
  struct Claimant {
    Incarnation self;
    std::uint64_t round = 0;
    std::vector<ClaimRound> run;  ///< The current one, or none.
  };
  struct Message {
    std::uint32_t claimant = 0;
    std::uint32_t holder = 0;
    Incarnation from;  ///< Claimant that the message is from; empty for an answer.
    std::variant<ClaimRequest, ClaimRelease, ClaimAnswer> body;
  };

  void Take(const Step& step) {
    Claimant& claimant = claimants_[step.index % kClaimHolders];
    const std::uint32_t number = step.index % kClaimHolders;
    switch (step.kind) {
      case Step::Kind::kStart:
        return StartRun(number);
      case Step::Kind::kDeliver:
      case Step::Kind::kRepeat:
      case Step::Kind::kDrop:
        return TakeMessage(step);
      case Step::Kind::kTimeout:
        if (claimant.run.empty()) return;
        claimant.run[0].OnTimeout();
        return EndRun(number);
      case Step::Kind::kRestartHolder: {
        const bool forgets = mutation_ == ClaimMutation::kHolderForgets;
        const Incarnation self = forgets ? named_[number] : Host(number, next_start_++);
        holders_[number] = ClaimHolder(self, ClaimHolderOptions());
        return;
      }
      case Step::Kind::kRestartClaimant:
        claimant = {Host(number + 10, next_start_++), 0, {}};
        return;
    }
  }

  void StartRun(std::uint32_t number) {
    Claimant& claimant = claimants_[number];
    if (!claimant.run.empty()) return;
    claimant.run.emplace_back(claimant.self, test_key, ++claimant.round, named_);
    for (std::uint32_t i = 0; i < kClaimHolders; ++i) {
      const ClaimRequest request{test_key, claimant.round, 7, named_[i].start, kExpires};
      messages_.push_back({number, i, claimant.self, request});
    }
  }

  void TakeMessage(const Step& step) {
    if (messages_.empty()) return;
    const std::size_t index = step.index % messages_.size();
    const Message message = messages_[index];
    if (step.kind != Step::Kind::kRepeat) {
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (step.kind != Step::Kind::kDrop) Deliver(message);
  }

  void Deliver(const Message& message) {
    if (const auto* request = std::get_if<ClaimRequest>(&message.body)) {
      const ClaimAnswer answer = holders_[message.holder].OnClaim(message.from, *request, kNow);
      messages_.push_back({message.claimant, message.holder, Incarnation(), answer});
    } else if (const auto* release = std::get_if<ClaimRelease>(&message.body)) {
      holders_[message.holder].OnRelease(message.from, *release);
    } else {
      TakeAnswer(message.claimant, message.holder, std::get<ClaimAnswer>(message.body));
    }
  }

  void TakeAnswer(std::uint32_t number, std::uint32_t holder, const ClaimAnswer& answer) {
    Claimant& claimant = claimants_[number];
    if (claimant.run.empty()) return;
    claimant.run[0].OnAnswer(named_[holder].host, answer);
    const bool granted =
        answer.verdict == ClaimVerdict::kGranted && answer.claimant == claimant.self;
    if (mutation_ == ClaimMutation::kOneGrantWins && granted) dispatched_.insert(claimant.self);
    EndRun(number);
  }

  void EndRun(std::uint32_t number) {
    Claimant& claimant = claimants_[number];
    const ClaimState state = claimant.run[0].state();
    if (state == ClaimState::kPending) return;
    if (state == ClaimState::kWon) {
      dispatched_.insert(claimant.self);
      return;
    }
    for (const HostName& host : claimant.run[0].ReleaseTargets()) {
      std::uint32_t holder = 0;
      while (named_[holder].host != host) ++holder;
      const ClaimRelease release{test_key, claimant.round};
      messages_.push_back({number, holder, claimant.self, release});
    }
    claimant.run.clear();
  }

  ClaimMutation mutation_;
  std::uint64_t next_start_ = 100;
  std::array<Incarnation, kClaimHolders> named_;
  std::vector<ClaimHolder> holders_;
  std::vector<Claimant> claimants_;
  std::vector<Message> messages_;
  std::set<Incarnation> dispatched_;
};

std::vector<Step> Deliveries(std::initializer_list<std::uint32_t> indexes) {
  std::vector<Step> steps;
  for (const std::uint32_t index : indexes) steps.push_back({Step::Kind::kDeliver, index});
  return steps;
}

ClaimRequest Claim(std::uint64_t round, std::uint64_t digest = 7) {
  return {test_key, round, digest, StartId(1), kExpires};
}

}  // namespace

TEST_CASE("claim: at most one incarnation dispatches a request") {
  CHECK(rc::check("one dispatch at most", [] {
    const auto kinds = rc::gen::weightedElement<Step::Kind>({{6, Step::Kind::kStart},
                                                             {30, Step::Kind::kDeliver},
                                                             {3, Step::Kind::kRepeat},
                                                             {3, Step::Kind::kDrop},
                                                             {2, Step::Kind::kTimeout},
                                                             {1, Step::Kind::kRestartHolder},
                                                             {1, Step::Kind::kRestartClaimant}});
    const auto step = rc::gen::apply(
        [](Step::Kind kind, std::uint32_t i) {
          return Step{kind, i};
        },
        kinds, rc::gen::inRange<std::uint32_t>(0, 60));
    const auto steps = *rc::gen::container<std::vector<Step>>(step);
    const std::size_t dispatched = ClaimModel(ClaimMutation::kNone).Run(steps);
    RC_CLASSIFY(dispatched == 1u, "dispatched");
    RC_ASSERT(dispatched <= 1u);
  }));
}

TEST_CASE("claim: two hosts dispatch when one grant suffices or a holder forgets") {
  std::vector<Step> race = {{Step::Kind::kStart, 0}, {Step::Kind::kStart, 1}};
  for (const Step& step : Deliveries({0, 3, 4, 4})) race.push_back(step);
  CHECK(ClaimModel(ClaimMutation::kNone).Run(race) == 0);
  CHECK(ClaimModel(ClaimMutation::kOneGrantWins).Run(race) == 2);

  std::vector<Step> restart = {{Step::Kind::kStart, 0}};
  for (const Step& step : Deliveries({0, 0, 0, 0, 0})) restart.push_back(step);
  restart.push_back({Step::Kind::kRestartHolder, 0});
  restart.push_back({Step::Kind::kRestartHolder, 1});
  restart.push_back({Step::Kind::kStart, 1});
  for (const Step& step : Deliveries({1, 1, 2, 2})) restart.push_back(step);
  CHECK(ClaimModel(ClaimMutation::kNone).Run(restart) == 1);
  CHECK(ClaimModel(ClaimMutation::kHolderForgets).Run(restart) == 2);
}

TEST_CASE("claim holder: verdicts") {
  ClaimHolderOptions options;
  options.max_claims = 1;
  ClaimHolder holder(Host(0, 1), options);
  const Incarnation first = Host(10, 5);
  const Incarnation second = Host(11, 6);
  CHECK(holder.OnClaim(first, Claim(1), kNow).verdict == ClaimVerdict::kGranted);
  CHECK(holder.OnClaim(first, Claim(2), kNow).verdict == ClaimVerdict::kGranted);
  CHECK(holder.OnClaim(first, Claim(1), kNow).verdict == ClaimVerdict::kHeldByOther);
  CHECK(holder.OnClaim(second, Claim(1), kNow).claimant == first);
  CHECK(holder.OnClaim(first, Claim(2, 8), kNow).verdict == ClaimVerdict::kKeyReused);
  ClaimRequest other = Claim(1);
  other.key = IdempotencyKey("other");
  CHECK(holder.OnClaim(second, other, kNow).verdict == ClaimVerdict::kFull);
  other.holder_start = StartId(2);
  CHECK(holder.OnClaim(second, other, kNow).verdict == ClaimVerdict::kWrongIncarnation);

  holder.OnRelease(first, {test_key, 1});
  CHECK(holder.OnClaim(second, Claim(1), kNow).verdict == ClaimVerdict::kHeldByOther);
  holder.OnRelease(second, {test_key, 2});
  holder.OnRelease(first, {test_key, 2});
  CHECK(holder.OnClaim(second, Claim(2), kNow).verdict == ClaimVerdict::kHeldByOther);
  CHECK(holder.OnClaim(first, Claim(2), kNow).verdict == ClaimVerdict::kHeldByOther);
  CHECK(holder.OnClaim(second, Claim(3), kNow).verdict == ClaimVerdict::kGranted);

  CHECK(holder.OnClaim(second, Claim(3), kExpires).verdict == ClaimVerdict::kExpired);
  holder.Expire(kExpires + std::chrono::seconds(29));
  CHECK(holder.size() == 1);
  holder.Expire(kExpires + std::chrono::seconds(30));
  CHECK(holder.size() == 0);
  // A wall clock that steps back revives nothing.
  CHECK(holder.OnClaim(first, Claim(9), kNow).verdict == ClaimVerdict::kExpired);
}

TEST_CASE("claim run: ends") {
  const std::array<Incarnation, kClaimHolders> holders = {Host(0, 1), Host(1, 2), Host(2, 3)};
  const Incarnation self = Host(10, 5);
  const Incarnation rival = Host(11, 6);
  const auto answer = [](ClaimVerdict verdict, Incarnation claimant) {
    return ClaimAnswer{test_key, 1, verdict, std::move(claimant)};
  };
  ClaimRound stale(self, test_key, 1, holders);
  stale.OnAnswer(holders[0].host, answer(ClaimVerdict::kGranted, Host(10, 4)));
  stale.OnAnswer(holders[1].host, answer(ClaimVerdict::kGranted, self));
  stale.OnAnswer(holders[1].host, answer(ClaimVerdict::kGranted, self));
  CHECK(stale.state() == ClaimState::kPending);
  stale.OnTimeout();
  CHECK(stale.state() == ClaimState::kUndecided);
  CHECK(stale.ReleaseTargets().size() == 3);

  ClaimRound held(self, test_key, 1, holders);
  held.OnAnswer(holders[0].host, answer(ClaimVerdict::kGranted, self));
  held.OnAnswer(holders[1].host, answer(ClaimVerdict::kHeldByOther, rival));
  held.OnUnreachable(holders[2].host);
  CHECK(held.state() == ClaimState::kHeldByOther);
  CHECK(held.other_claimant() == rival);
  CHECK(held.ReleaseTargets() == std::vector<HostName>{holders[0].host, holders[2].host});

  ClaimRound expired(self, test_key, 1, holders);
  expired.OnAnswer(holders[0].host, answer(ClaimVerdict::kExpired, {}));
  expired.OnAnswer(holders[1].host, answer(ClaimVerdict::kExpired, {}));
  CHECK(expired.state() == ClaimState::kExpired);

  ClaimRound reused(self, test_key, 1, holders);
  reused.OnAnswer(holders[0].host, answer(ClaimVerdict::kKeyReused, {}));
  CHECK(reused.state() == ClaimState::kKeyReused);
}

}  // namespace mulberry
