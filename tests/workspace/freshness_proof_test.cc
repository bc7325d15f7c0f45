#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "libworkspace/workspace.h"

namespace mulberry::workspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(1000));
TimePoint At(std::int64_t ms) { return kStart + milliseconds(ms); }
constexpr DirectoryVersion kOne(1);
constexpr DirectoryVersion kTwo(2);

// Guards against a read that counts from its response: what was published meanwhile is unknown.
TEST_CASE("an own read counts from when it was sent") {
  FreshnessProof proof;
  CHECK(proof.Age(At(0)) == Duration::max());
  proof.OnEra(StoreEra(1), At(0));
  proof.OnOwnRead(At(100));
  CHECK(proof.Age(At(2100)) == seconds(2));
  proof.OnOwnRead(At(50));
  CHECK(proof.Age(At(2100)) == seconds(2));
}

// Guards against a delay of the link that makes a proof look younger.
TEST_CASE("an answer counts from the question, minus the stated age") {
  FreshnessProof proof;
  proof.OnVersion(kOne);
  const QueryStamp stamp = proof.OnQuerySent(At(0));
  CHECK(proof.OnAnswer({stamp, milliseconds(300), kOne}, At(4000)));
  CHECK(proof.Age(At(4000)) == milliseconds(4300));
  SUBCASE("a duplicate changes nothing") {
    CHECK_FALSE(proof.OnAnswer({stamp, milliseconds(300), kOne}, At(4500)));
    CHECK(proof.Age(At(4500)) == milliseconds(4800));
  }
  SUBCASE("a second answer with a younger proof counts") {
    CHECK(proof.OnAnswer({stamp, milliseconds(1), kOne}, At(4000)));
    CHECK(proof.Age(At(4000)) == milliseconds(4001));
  }
}

// Guards against answers to another process, or to a question that was never sent.
TEST_CASE("answers to unknown or forgotten questions are ignored") {
  FreshnessProof proof;
  proof.OnVersion(kOne);
  CHECK_FALSE(proof.OnAnswer({QueryStamp(7), {}, kOne}, At(0)));
  const QueryStamp stamp = proof.OnQuerySent(At(0));
  CHECK_FALSE(proof.OnAnswer({stamp, {}, kOne}, At(5001)));
  CHECK_FALSE(proof.OnAnswer({stamp, milliseconds(-1), kOne}, At(1)));
  FreshnessProof restarted;
  restarted.OnVersion(kOne);
  CHECK_FALSE(restarted.OnAnswer({stamp, {}, kOne}, At(1)));
  CHECK_FALSE(proof.as_of());
}

// Guards against two questions that can't be told apart.
TEST_CASE("questions of the same moment have different stamps") {
  FreshnessProof proof;
  CHECK(proof.OnQuerySent(At(0)) != proof.OnQuerySent(At(0)));
}

// Guards against a host that serves an old configuration on the strength of a newer one's proof.
TEST_CASE("an answer about a newer configuration counts once that is in force") {
  FreshnessProof proof;
  proof.OnVersion(kOne);
  CHECK_FALSE(proof.OnAnswer({proof.OnQuerySent(At(0)), {}, kTwo}, At(10)));
  CHECK_FALSE(proof.as_of());
  proof.OnVersion(kTwo);
  CHECK(proof.Age(At(20)) == milliseconds(20));
  // A statement about an older configuration holds for a newer one.
  CHECK(proof.OnAnswer({proof.OnQuerySent(At(30)), {}, kOne}, At(40)));
  CHECK(proof.Age(At(40)) == milliseconds(10));
}

// Guards against a suspended process that serves on an old proof when it wakes.
TEST_CASE("time in which the process was suspended counts") {
  FreshnessProof proof;
  proof.OnOwnRead(At(0));
  CHECK(proof.Age(At(3'600'000)) == seconds(3600));
}

// Guards against a copy that lacks a revocation and so makes the revoked key valid again.
TEST_CASE("reads of a restored store count only after missing records were written again") {
  FreshnessProof proof;
  proof.OnEra(StoreEra(1), At(0));
  proof.OnOwnRead(At(0));
  proof.OnEra(StoreEra(2), At(1000));
  proof.OnOwnRead(At(1100));
  CHECK(proof.Age(At(1100)) == milliseconds(1100));
  proof.OnEra(StoreEra(2), At(3000));
  proof.OnOwnRead(At(3300));
  CHECK(proof.Age(At(3300)) == Duration::zero());
  SUBCASE("a host that starts in a later era waits too, or asks") {
    FreshnessProof started;
    started.OnEra(StoreEra(2), At(5000));
    started.OnOwnRead(At(5100));
    CHECK_FALSE(started.as_of());
    CHECK(started.OnAnswer({started.OnQuerySent(At(5200)), {}, DirectoryVersion()}, At(5210)));
  }
}

/// Hosts, a store and the messages between them. Messages wait until a step delivers them: in any
/// order, late, twice or never.
class Model {
 public:
  static constexpr std::size_t kHosts = 3;

  Model() : hosts_(kHosts) {}

  void Step(std::uint32_t kind, std::uint32_t choice) {
    const std::size_t index = choice % kHosts;
    Host& host = hosts_[index];
    switch (kind) {
      case 0:
        now_ += milliseconds(choice % 700);
        RewriteIfDue();
        break;
      case 1:
        Publish();
        break;
      case 2:
        reads_.push_back(
            {index, host.start, now_, store_version_, era_, (choice / kHosts) % 2 == 0});
        break;
      case 3:
        if (!reads_.empty()) DeliverRead(choice % reads_.size(), choice);
        break;
      case 4:
        queries_.push_back({index, host.start, host.proof.OnQuerySent(now_)});
        break;
      case 5:
        if (!queries_.empty()) {
          Answer(queries_[choice % queries_.size()], hosts_[choice / 7 % kHosts]);
        }
        break;
      case 6:
        if (!answers_.empty()) DeliverAnswer(answers_[choice % answers_.size()]);
        break;
      case 7:
        if (choice % 4 == 0) host = {FreshnessProof(), 0, next_start_++};
        break;
      case 8:
        if (choice % 4 == 0) Restore();
        break;
      default:
        break;
    }
  }

  /// True when each host's configuration is at least as new as its proof says.
  bool Holds() const {
    return std::all_of(hosts_.begin(), hosts_.end(), [this](const Host& host) {
      const auto as_of = host.proof.as_of();
      if (!as_of) return true;
      std::uint64_t newest = 0;
      for (std::size_t i = 0; i < published_.size(); ++i) {
        if (published_[i] < *as_of) newest = i + 1;
      }
      return host.version >= newest;
    });
  }
  std::size_t proofs() const {
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(),
                      [](const Host& host) { return host.proof.as_of().has_value(); }));
  }

 private:
  struct Host {
    FreshnessProof proof;
    std::uint64_t version = 0;
    std::uint64_t start = 0;
  };
  struct Read {
    std::size_t host = 0;
    std::uint64_t start = 0;
    TimePoint sent;
    std::uint64_t version_at_sending = 0;
    StoreEra era_at_sending;
    bool executed_at_sending = false;
  };
  struct Query {
    std::size_t host = 0;
    std::uint64_t start = 0;
    QueryStamp stamp;
  };
  struct AnswerInFlight {
    std::size_t host = 0;
    std::uint64_t start = 0;
    ProofAnswer answer;
  };

  void Publish() {
    published_.push_back(now_);
    store_version_ = published_.size();
  }
  /// The copy lacks the newest version; it is written again two seconds later.
  void Restore() {
    if (store_version_ == 0 || rewrite_at_ != TimePoint::max()) return;
    --store_version_;
    era_ = StoreEra(era_.value() + 1);
    rewrite_at_ = now_ + seconds(2);
  }
  void RewriteIfDue() {
    if (now_ < rewrite_at_) return;
    rewrite_at_ = TimePoint::max();
    store_version_ = published_.size();
  }
  void DeliverRead(std::size_t index, std::uint32_t choice) {
    const Read read = reads_[index];
    reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(index));
    Host& host = hosts_[read.host];
    if (host.start != read.start || choice % 5 == 0) return;
    const StoreEra era = read.executed_at_sending ? read.era_at_sending : era_;
    // StoreReader ignores responses of an older era than the newest it knows.
    if (era < host_era_[read.host] && host_start_[read.host] == host.start) return;
    host_era_[read.host] = era;
    host_start_[read.host] = host.start;
    host.proof.OnEra(era, now_);
    SetVersion(host, read.executed_at_sending ? read.version_at_sending : store_version_);
    host.proof.OnOwnRead(read.sent);
  }
  void Answer(const Query& query, const Host& other) {
    if (!other.proof.as_of()) return;
    answers_.push_back({query.host,
                        query.start,
                        {query.stamp, other.proof.Age(now_), DirectoryVersion(other.version)}});
  }
  void DeliverAnswer(const AnswerInFlight& answer) {
    Host& host = hosts_[answer.host];
    if (host.start == answer.start) host.proof.OnAnswer(answer.answer, now_);
  }
  static void SetVersion(Host& host, std::uint64_t version) {
    host.version = std::max(host.version, version);
    host.proof.OnVersion(DirectoryVersion(host.version));
  }

  TimePoint now_ = kStart;
  std::vector<TimePoint> published_;  ///< When each version, counted from 1, was confirmed.
  std::uint64_t store_version_ = 0;
  StoreEra era_{1};
  TimePoint rewrite_at_ = TimePoint::max();
  std::vector<Host> hosts_;
  std::vector<StoreEra> host_era_ = std::vector<StoreEra>(kHosts);
  std::vector<std::uint64_t> host_start_ = std::vector<std::uint64_t>(kHosts);
  std::vector<Read> reads_;
  std::vector<Query> queries_;
  std::vector<AnswerInFlight> answers_;
  std::uint64_t next_start_ = 1;
};

// Guards against any order of losses, delays, duplicates, restarts and restores in which a host
// takes an old configuration for the newest.
TEST_CASE("a proof never claims more than was published") {
  std::size_t proofs = 0;
  CHECK(rc::check([&] {
    Model model;
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
        400, rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 9),
                           rc::gen::inRange<std::uint32_t>(0, 1U << 20)));
    for (const auto& [kind, choice] : steps) {
      model.Step(kind, choice);
      RC_ASSERT(model.Holds());
    }
    proofs += model.proofs();
  }));
  // The steps lead to proofs, so the property says something.
  CHECK(proofs > 100);
}

}  // namespace
}  // namespace mulberry::workspace
