#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "libgateway/fleet_view.h"
#include "libgateway/key_gate.h"
#include "libgateway/peer_channel.h"
#include "libgateway/store_view.h"

namespace mulberry::gateway {

/// Obtains proofs that the configuration is the newest: asks other hosts, answers their questions,
/// and reads the store when this host is the one that others ask. Only for the thread that runs the
/// io_context.
class ProofExchange {
 public:
  struct Dependencies {
    KeyGate& gate;
    const FleetView& fleet;
    StoreView& store;
    PeerChannel& peers;
    std::function<HostHeartbeat()> own_heartbeat;
    /// The proof has become younger.
    std::function<void()> on_proof;
    /// Sends a host the operators' records that it lacks.
    std::function<void(const HostHeartbeat&)> send_records;
  };

  explicit ProofExchange(Dependencies deps);

  /// Call a few times a second.
  void Tick(TimePoint now);
  /// Handles a question or an answer in a message of a live start of another host. Precondition:
  /// the message's records have been applied.
  void OnPeerMessage(const PeerMessage& message, TimePoint now);
  /// A read of the operators' topic, sent at `sent`, showed the end of the topic.
  void OnOwnRead(TimePoint sent, TimePoint now);

 private:
  /// Asks unless a question is on its way; returns true while an answer is expected.
  bool Ask(TimePoint now);
  void OnYoungerProof(TimePoint now);
  void SendQuery(TimePoint now);
  /// Reads the operators' topic unless the read would prove nothing.
  void ReadStore(TimePoint now);
  void SendAnswer(const std::string& address, StartId start, std::uint64_t stamp, TimePoint now);
  std::vector<std::string> Targets(bool asks_more, TimePoint now);

  /// A host that waits for the answer of a read that is running.
  struct Waiting {
    std::string address;
    StartId start;
    std::uint64_t stamp = 0;
    TimePoint since;
  };

  Dependencies deps_;
  TimePoint asked_at_;
  /// The last question, or a read of the store since, has given a young proof.
  bool answered_ = true;
  std::vector<Waiting> waiting_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace mulberry::gateway
