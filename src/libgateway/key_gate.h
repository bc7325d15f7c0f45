#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libgateway/active_config.h"
#include "libgateway/http_message.h"
#include "libgateway/types.h"
#include "libworkspace/workspace.h"

namespace mulberry::gateway {

/// Whether a request may be served, as far as its key is concerned.
enum class KeyVerdict {
  kAdmitted,
  kWait,          ///< A proof of freshness is on its way.
  kUnauthorized,  ///< Final for the caller: no such key in the newest configuration.
  kUnproven,      ///< This host cannot tell now.
};

struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kAdmitted;
  /// Name of the reason unless admitted, for logs and metrics.
  const char* reason = "";
  /// The workspace of an admitted request; null where no key is needed. Valid until the next
  /// configuration.
  const workspace::Workspace* workspace = nullptr;
  /// Short digest of the key, empty without a well-formed one.
  std::string key_digest;
  /// With kUnproven: when a proof may be there.
  Duration retry_after{};
};

/// Decides by the configuration in force and the proof of its freshness whether requests are
/// admitted. Asks for a proof when a request needs a younger one. Does no I/O: time is passed in.
/// Not thread safe.
class KeyGate {
 public:
  /// `config` must outlive the gate.
  explicit KeyGate(const ActiveConfig& config) : config_(config) {}

  void SetLimits(const workspace::RevocationLimits& limits) { limits_ = limits; }
  /// Called when a request needs a younger proof now; returns true while an answer is expected.
  using AskCallback = std::function<bool(TimePoint now)>;
  void SetAskCallback(AskCallback callback) { ask_ = std::move(callback); }
  /// Sets whether some host can reach the store, as far as known.
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }

  /// True when the configuration has workspaces.
  bool active() const { return config_.ready() && !config_.config().workspaces.empty(); }

  /// Decides about a request that arrived at `arrived`. `may_wait`: the caller of this method calls
  /// again when the proof or the configuration has changed.
  KeyDecision Check(const HeaderList& headers, const Route& route, TimePoint arrived, bool may_wait,
                    TimePoint now);
  /// Decides about a request that was admitted and is about to be sent to a server. A key that is
  /// gone is kUnproven here, since the caller was not told of it when the request arrived.
  KeyDecision Recheck(const HeaderList& headers, const Route& route, TimePoint now);

  /// True while requests that need a young proof have been arriving.
  bool WantsProof(TimePoint now) const { return now < wanted_until_; }
  workspace::FreshnessProof& proof() { return proof_; }
  const workspace::FreshnessProof& proof() const { return proof_; }

 private:
  KeyDecision WaitFor(KeyDecision decision, bool may_wait, TimePoint now);

  const ActiveConfig& config_;
  workspace::RevocationLimits limits_;
  workspace::FreshnessProof proof_;
  AskCallback ask_;
  bool store_reachable_ = true;
  TimePoint wanted_until_;
};

/// How long a request of the route may wait for a proof.
Duration ProofWait(const Route& route);

}  // namespace mulberry::gateway
