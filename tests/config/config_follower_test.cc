#include "libconfig/config_follower.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "fake_log.h"

namespace mulberry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One reader with its read and append in flight.
struct Reader {
  explicit Reader(FollowerOptions options, TimePoint now) : follower(options, now) {
    follower.Start(now, actions);
    Collect();
  }

  void Collect() {
    for (auto& action : actions) {
      if (const auto* read = std::get_if<ReadLog>(&action)) reading = read->from;
      if (const auto* append = std::get_if<AppendRecord>(&action)) appending = append->data;
      if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) fetching = fetch->after;
      if (std::holds_alternative<StateChanged>(action)) ++changes;
    }
    actions.clear();
  }

  /// Answers the read in flight, a failed read being retried at once.
  void Read(const FakeLog& log, TimePoint now, std::size_t most = 500) {
    follower.Tick(now, actions);
    Collect();
    if (!reading) return;
    const LogPage page = log.Read(*std::exchange(reading, std::nullopt), most);
    follower.OnPage(page, now, actions);
    Collect();
  }

  /// Carries the append in flight out; the answer may be lost.
  void Append(FakeLog& log, TimePoint now, bool answered = true) {
    if (!appending) return;
    log.Append(*std::exchange(appending, std::nullopt));
    follower.OnAppended(answered, now, actions);
    Collect();
  }

  std::uint64_t applied() const { return follower.state_machine().state().applied.value(); }

  ConfigFollower follower;
  FollowerActions actions;
  std::optional<Offset> reading;
  std::optional<std::string> appending;
  std::optional<Offset> fetching;
  int changes = 0;
};

constexpr TimePoint kStart{seconds(1000)};

void Publish(FakeLog& log, int from, int count) {
  for (int i = from; i < from + count; ++i) {
    const std::string n = std::to_string(i);
    log.Append(Encoded(MakeClass("c" + n, "class-" + n, 0)));
  }
}

/// Reads and writes until nothing is in flight but a read at the tail.
void Settle(Reader& reader, FakeLog& log, TimePoint now) {
  for (int i = 0; i < 50; ++i) {
    reader.Read(log, now);
    reader.Append(log, now);
  }
}

TEST_CASE("a reader from offset 1 has a state once it has read to the end") {
  FakeLog log;
  Reader reader({}, kStart);
  CHECK_FALSE(reader.follower.HasState());
  reader.Read(log, kStart);
  CHECK(reader.follower.HasState());
  CHECK(reader.changes == 1);
  Publish(log, 0, 3);
  Reader slow({}, kStart);
  slow.Read(log, kStart, 2);
  CHECK_FALSE(slow.follower.HasState());
  std::vector<LogPage::Record> records;
  std::string snapshot;
  slow.follower.HandlePeerFetch(Offset(0), &records, &snapshot);
  CHECK((records.empty() && snapshot.empty()));
  slow.Read(log, kStart, 2);
  CHECK(slow.follower.IsCurrent());
  reader.follower.OnReadFailed(kStart, reader.actions);
  CHECK_FALSE(reader.follower.IsCurrent());
  CHECK(reader.actions.empty());
  reader.Read(log, kStart + milliseconds(250));
  CHECK(reader.applied() == 3);
}

TEST_CASE("a fresh reader takes the highest snapshot whose records are there, not the last") {
  FakeLog log;
  Reader old({}, kStart);
  Publish(log, 0, 4);
  Settle(old, log, kStart);
  const auto late = old.follower.state_machine().EncodeSnapshotRecords(Offset(4)).value();
  Publish(log, 4, 4);
  Settle(old, log, kStart);
  log.Append(old.follower.state_machine().EncodeSnapshotRecords(Offset(8)).value()[0]);
  Publish(log, 8, 2);
  log.Append(late[0]);
  log.first = 7;
  Reader fresh({}, kStart);
  Settle(fresh, log, kStart);
  Settle(old, log, kStart);
  CHECK(fresh.follower.IsCurrent());
  CHECK(fresh.follower.state_machine().EncodeSnapshot() ==
        old.follower.state_machine().EncodeSnapshot());
  CHECK(fresh.follower.state_machine().state().classes.size() == 10);
}

TEST_CASE("a fresh reader of a long log searches it from its end") {
  FakeLog log;
  Reader old({}, kStart);
  Publish(log, 0, 600);
  Settle(old, log, kStart);
  FollowerOptions options;
  options.search_records = 10;
  Reader replays(options, kStart);
  Settle(replays, log, kStart);
  CHECK(replays.follower.state_machine().EncodeSnapshot() ==
        old.follower.state_machine().EncodeSnapshot());
  const auto parts = old.follower.state_machine().EncodeSnapshotRecords(Offset(600));
  for (const std::string& part : parts.value()) log.Append(part);
  Publish(log, 600, 2);
  Reader fresh(options, kStart);
  fresh.Read(log, kStart);
  fresh.Read(log, kStart);
  CHECK(fresh.reading == Offset(601));
  Settle(fresh, log, kStart);
  Settle(old, log, kStart);
  CHECK(fresh.follower.state_machine().EncodeSnapshot() ==
        old.follower.state_machine().EncodeSnapshot());
}

TEST_CASE("without a usable snapshot a fresh reader waits and asks peers") {
  FakeLog log;
  Reader old({}, kStart);
  Publish(log, 0, 4);
  Settle(old, log, kStart);
  log.first = 5;
  Reader fresh({}, kStart);
  Settle(fresh, log, kStart + seconds(60));
  CHECK_FALSE(fresh.follower.HasState());
  CHECK_FALSE(fresh.appending);
  fresh.follower.OnPeerOffset(HostName("p"), Offset(4), old.follower.state_machine().state().digest,
                              kStart, fresh.actions);
  fresh.Collect();
  REQUIRE(fresh.fetching == Offset(0));
  std::string snapshot;
  std::vector<LogPage::Record> records;
  old.follower.HandlePeerFetch(Offset(0), &records, &snapshot);
  CHECK(records.size() == 4);
  CHECK(snapshot.empty());
  fresh.follower.OnPeerResponse(records, snapshot, kStart, fresh.actions);
  CHECK(fresh.follower.HasState());
  Settle(fresh, log, kStart);
  CHECK(fresh.follower.IsCurrent());
  fresh.follower.OnPeerOffset(HostName("p"), Offset(4), 1, kStart, fresh.actions);
  CHECK(fresh.follower.digest_mismatches() == 1);
  fresh.Read(log, kStart + seconds(1));
  fresh.Read(log, kStart + seconds(6));
  CHECK(fresh.appending);
}

TEST_CASE("a snapshot whose following records are gone is not loaded") {
  FakeLog log;
  Reader old({}, kStart);
  Publish(log, 0, 4);
  Settle(old, log, kStart);
  Publish(log, 4, 2);
  log.Append(old.follower.state_machine().EncodeSnapshotRecords(Offset(4)).value()[0]);
  log.first = 6;
  Reader fresh({}, kStart);
  Settle(fresh, log, kStart);
  CHECK(fresh.applied() == 0);
  log.first = 5;
  Reader lucky({}, kStart);
  Settle(lucky, log, kStart);
  CHECK(lucky.applied() == 7);
}

TEST_CASE("a log that drops nothing gets a snapshot when the newest one is old") {
  FakeLog log;
  Reader reader({}, kStart);
  Publish(log, 0, 2);
  Settle(reader, log, kStart + seconds(1));
  Settle(reader, log, kStart + std::chrono::minutes(29));
  CHECK(log.all.size() == 2);
  Settle(reader, log, kStart + std::chrono::minutes(30));
  Settle(reader, log, kStart + std::chrono::minutes(31));
  CHECK(log.all.size() == 3);
}

TEST_CASE("records that expired in an outage lead to one snapshot for new readers") {
  FakeLog log;
  FollowerOptions options;
  Reader a(options, kStart);
  options.random_seed = 2;
  Reader b(options, kStart);
  Publish(log, 0, 4);
  Settle(a, log, kStart);
  Settle(b, log, kStart);
  log.first = log.next();
  const TimePoint back = kStart + seconds(300);
  for (TimePoint now = back; now < back + seconds(12); now += milliseconds(50)) {
    for (Reader* reader : {&a, &b}) {
      reader->Read(log, now);
      reader->Append(log, now);
    }
  }
  CHECK(log.all.size() == 5);
  Reader fresh({}, kStart);
  Settle(fresh, log, kStart);
  CHECK(fresh.follower.state_machine().state().classes.size() == 4);
}

TEST_CASE("an idle log keeps a snapshot, written again within the observed retention") {
  FakeLog log;
  Reader reader({}, kStart);
  Publish(log, 0, 2);
  std::vector<TimePoint> appended(2, kStart);
  for (TimePoint now = kStart; now < kStart + seconds(1800); now += milliseconds(500)) {
    reader.Read(log, now);
    reader.Append(log, now);
    while (appended.size() < log.all.size()) appended.push_back(now);
    while (log.first < log.next() && now - appended[log.first - 1] > seconds(100)) ++log.first;
  }
  Reader fresh({}, kStart);
  Settle(fresh, log, kStart);
  CHECK(fresh.follower.state_machine().state().classes.size() == 2);
  CHECK(log.all.size() < 100);
}

TEST_CASE("records lost to all readers: the first stand-in counts, nobody goes back") {
  FakeLog log;
  FollowerOptions options;
  Reader a(options, kStart);
  Publish(log, 0, 4);
  Settle(a, log, kStart);
  Reader ahead(options, kStart);
  Publish(log, 4, 1);
  Settle(ahead, log, kStart);
  Publish(log, 5, 3);
  log.first = 8;
  Settle(a, log, kStart + seconds(1));
  CHECK(a.follower.counters().lost_records == 1);
  CHECK_FALSE(a.follower.IsCurrent());
  CHECK(a.applied() == 4);
  Settle(a, log, kStart + seconds(30));
  CHECK(a.follower.IsCurrent());
  CHECK(a.follower.state_machine().state().classes.size() == 5);
  CHECK(a.applied() == log.all.size());
  CHECK(a.follower.state_machine().state().lost_ranges.size() == 1);

  Settle(ahead, log, kStart + seconds(30));
  CHECK(ahead.applied() == 5);
  CHECK_FALSE(ahead.follower.IsCurrent());
  ahead.follower.OnPeerResponse({}, a.follower.state_machine().EncodeSnapshot(), kStart,
                                ahead.actions);
  CHECK(ahead.applied() == 5);
  Reader fresh(options, kStart);
  Settle(fresh, log, kStart);
  CHECK(fresh.follower.state_machine().state().digest == a.follower.state_machine().state().digest);
}

TEST_CASE("a log that ends before the applied offset is not followed") {
  FakeLog log;
  Reader reader({}, kStart);
  Publish(log, 0, 4);
  Settle(reader, log, kStart);
  FakeLog wiped;
  Publish(wiped, 9, 2);
  reader.Read(wiped, kStart);
  CHECK(reader.follower.counters().truncated_log_reads == 1);
  CHECK_FALSE(reader.follower.IsCurrent());
  CHECK(reader.follower.HasState());
  CHECK(reader.applied() == 4);
  LogPage page = log.Read(Offset(2));
  page.records.erase(page.records.begin() + 1);
  reader.Read(log, kStart + seconds(1));
  reader.follower.OnPage(page, kStart + seconds(1), reader.actions);
  CHECK(reader.follower.counters().malformed_pages == 1);
}

/// Several readers, one log and everything that may happen between them.
class Fleet {
 public:
  Fleet() {
    for (int i = 0; i < 3; ++i) Restart(i);
  }

  void Step() {
    now_ += milliseconds(*rc::gen::inRange(0, 1500));
    const int who = *rc::gen::inRange(0, 3);
    Reader& reader = *readers_[who];
    const std::uint64_t before = reader.applied();
    switch (*rc::gen::inRange(0, 12)) {
      case 0:
      case 1:
        PublishAny();
        break;
      case 2:
        reader.follower.OnReadFailed(now_, reader.actions);
        reader.reading.reset();
        break;
      case 3:
        if (reader.appending) late_.push_back(*reader.appending);
        reader.Append(log_, now_, *rc::gen::arbitrary<bool>());
        break;
      case 4:
        if (!late_.empty()) Append(*rc::gen::elementOf(late_));
        break;
      case 5:
        Expire();
        break;
      case 6:
        if (OthersHaveState(who)) Restart(who);
        return;
      case 7:
      case 8:
        AskPeer(reader, *readers_[*rc::gen::inRange(0, 3)]);
        break;
      case 9:
        if (!contents_.empty()) Deliver(reader, *rc::gen::elementOf(contents_));
        break;
      default:
        reader.Read(log_, now_, *rc::gen::inRange(0, 6));
    }
    reader.Collect();
    RC_ASSERT(reader.applied() >= before);
    CheckAgainstReplay(reader);
  }

  /// Everyone reaches the end of the log once the faults are over.
  void Converge() {
    for (int round = 0; round < 100; ++round) {
      now_ += milliseconds(300);
      for (auto& reader : readers_) {
        reader->Read(log_, now_);
        reader->Append(log_, now_);
        for (auto& peer : readers_) AskPeer(*reader, *peer);
      }
    }
    for (auto& reader : readers_) {
      reader->Read(log_, now_);
      RC_ASSERT(reader->follower.IsCurrent());
      RC_ASSERT(reader->applied() == log_.all.size());
      RC_ASSERT(reader->follower.digest_mismatches() == 0U);
      CheckAgainstReplay(*reader);
    }
  }

 private:
  struct Content {
    std::vector<LogPage::Record> records;
    std::string snapshot;
  };

  void Restart(int who) {
    FollowerOptions options;
    options.records_per_snapshot = 4;
    options.search_records = 3;
    options.snapshot_jitter = seconds(1);
    options.lost_records_wait = std::chrono::hours(24);
    options.random_seed = static_cast<std::uint64_t>(++starts_);
    readers_[who] = std::make_unique<Reader>(options, now_);
  }

  bool OthersHaveState(int who) const {
    const std::uint64_t have = readers_[who]->applied();
    return std::any_of(readers_.begin(), readers_.end(), [&](const auto& other) {
      return other != readers_[who] && other->applied() >= have && other->follower.HasState();
    });
  }

  void Append(std::string record) {
    log_.Append(std::move(record));
    replay_.Apply(Offset(log_.all.size()), log_.all.back());
    snapshots_.push_back(replay_.EncodeSnapshot());
  }

  void PublishAny() {
    const std::string id = std::to_string(*rc::gen::inRange(0, 200));
    const std::string item = *rc::gen::element<std::string>("a", "b", "c");
    std::uint64_t base = VersionOf(replay_.state(), ItemKind::kClass, item).offset.value();
    if (*rc::gen::inRange(0, 4) == 0) base = *rc::gen::inRange<std::uint64_t>(0, base + 1);
    Change change = MakeClass(id, item, base, *rc::gen::inRange(1, 100));
    if (*rc::gen::inRange(0, 4) == 0) change.value = RemoveItem();
    Append(Encoded(change));
  }

  /// Drops records that one reader with a state has applied, so that none is lost to all.
  void Expire() {
    std::uint64_t most = 0;
    for (const auto& reader : readers_) {
      if (reader->follower.HasState()) most = std::max(most, reader->applied());
    }
    log_.first = *rc::gen::inRange<std::uint64_t>(log_.first, std::max(log_.first, most + 1) + 1);
    log_.first = std::min(log_.first, std::max<std::uint64_t>(most + 1, 1));
  }

  void AskPeer(Reader& reader, Reader& peer) {
    const ConfigState& state = peer.follower.state_machine().state();
    reader.follower.OnPeerOffset(HostName("p"), state.applied, state.digest, now_, reader.actions);
    reader.Collect();
    if (!reader.fetching) return;
    Content content;
    peer.follower.HandlePeerFetch(*std::exchange(reader.fetching, std::nullopt), &content.records,
                                  &content.snapshot);
    contents_.push_back(content);
    Deliver(reader, content);
  }

  void Deliver(Reader& reader, const Content& content) {
    reader.follower.OnPeerResponse(content.records, content.snapshot, now_, reader.actions);
    reader.Collect();
  }

  void CheckAgainstReplay(const Reader& reader) {
    while (snapshots_.size() < log_.all.size()) {
      replay_.Apply(Offset(snapshots_.size() + 1), log_.all[snapshots_.size()]);
      snapshots_.push_back(replay_.EncodeSnapshot());
    }
    if (reader.applied() == 0) return;
    RC_ASSERT(reader.follower.state_machine().EncodeSnapshot() == snapshots_[reader.applied() - 1]);
  }

  TimePoint now_ = kStart;
  FakeLog log_;
  ConfigStateMachine replay_;           ///< Every record from offset 1.
  std::vector<std::string> snapshots_;  ///< State after each offset.
  std::array<std::unique_ptr<Reader>, 3> readers_;
  std::vector<std::string> late_;
  std::vector<Content> contents_;
  int starts_ = 0;
};

TEST_CASE("property: readers agree at equal offsets, never go back, and converge") {
  CHECK(rc::check("fleet of readers", [] {
    Fleet fleet;
    const int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; ++i) fleet.Step();
    fleet.Converge();
  }));
}

}  // namespace
}  // namespace mulberry::testing
