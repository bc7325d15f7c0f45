#include "libgateway/key_gate.h"

#include <algorithm>
#include <vector>

namespace mulberry::gateway {
namespace {

/// Fraction of RevocationLimits::bound after which a proof has lapsed; the rest is for a request
/// that has passed the check and reaches the server later.
constexpr double kUsableFraction = 0.9;
/// A key is said to be unknown only with a proof younger than this: in that time an update reaches
/// a host in several ways (relay, heartbeat, answer).
constexpr Duration kRecentProof = std::chrono::seconds(1);
/// A host without requests for this long stops asking for proofs; twice the interval of questions.
constexpr Duration kDemandTime = std::chrono::seconds(2);
/// A request waits for a proof at most this long, and at least the minimum, in which an answer from
/// another data centre arrives (8 ms, and a read of the store).
constexpr Duration kMaxProofWait = std::chrono::milliseconds(40);
constexpr Duration kMinProofWait = std::chrono::milliseconds(20);
/// A rejected request must not have been held for more than this fraction of its latency target.
constexpr int kTargetFraction = 8;
/// Interval of questions without an answer, see ProofExchange.
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
/// Mean pause between reads of a store that does not respond.
constexpr Duration kRetryAfterStore = std::chrono::seconds(1);

constexpr std::string_view kCredentialsHeader = "authorization";

workspace::Credentials CredentialsOf(const HeaderList& headers) {
  std::vector<std::string_view> values;
  for (const auto& [name, value] : headers) {
    if (EqualsIgnoreCase(name, kCredentialsHeader)) values.emplace_back(value);
  }
  return workspace::ParseCredentials(values);
}

}  // namespace

Duration ProofWait(const Route& route) {
  return std::clamp<Duration>(route.latency_target / kTargetFraction, kMinProofWait, kMaxProofWait);
}

KeyDecision KeyGate::Check(const HeaderList& headers, const Route& route, TimePoint arrived,
                           bool may_wait, TimePoint now) {
  KeyDecision decision;
  if (!active() || route.open) return decision;
  if (limits_.strict) wanted_until_ = now + kDemandTime;
  const workspace::Credentials credentials = CredentialsOf(headers);
  const auto* key = std::get_if<std::string_view>(&credentials);
  if (key != nullptr) {
    decision.key_digest = workspace::KeyDigest(*key);
    decision.workspace = config_.keys().Find(*key);
  }
  const Duration age = proof_.Age(now);
  if (decision.workspace != nullptr) {
    const auto usable = Duration(
        static_cast<std::int64_t>(static_cast<double>(limits_.bound.count()) * kUsableFraction));
    if (!limits_.strict || age < usable) return decision;
    decision.reason = "proof_lapsed";
    return WaitFor(std::move(decision), may_wait, now);
  }
  const bool recent = age < kRecentProof;
  // A key may be in a configuration that was published just now; a malformed one never is.
  const bool conclusive = proof_.as_of() && *proof_.as_of() >= arrived;
  if (recent && (key == nullptr || conclusive || !may_wait)) {
    decision.verdict = KeyVerdict::kUnauthorized;
    decision.reason =
        key != nullptr
            ? "key_unknown"
            : workspace::CredentialsErrorName(std::get<workspace::CredentialsError>(credentials));
    return decision;
  }
  decision.reason = "key_unproven";
  KeyDecision waiting = WaitFor(std::move(decision), may_wait, now);
  if (waiting.verdict == KeyVerdict::kUnproven && recent) waiting.verdict = KeyVerdict::kWait;
  return waiting;
}

KeyDecision KeyGate::Recheck(const HeaderList& headers, const Route& route, TimePoint now) {
  KeyDecision decision = Check(headers, route, now, false, now);
  if (decision.verdict == KeyVerdict::kUnauthorized) {
    decision.verdict = KeyVerdict::kUnproven;
    decision.reason = "key_revoked";
    decision.retry_after = kRetryAfter;
  }
  return decision;
}

/// Asks for a proof. There is nothing to wait for when the last question has gone unanswered.
KeyDecision KeyGate::WaitFor(KeyDecision decision, bool may_wait, TimePoint now) {
  decision.workspace = nullptr;
  decision.verdict = KeyVerdict::kUnproven;
  decision.retry_after = store_reachable_ ? kRetryAfter : kRetryAfterStore;
  if (!ask_) return decision;
  const bool expects_answer = ask_(now);
  if (may_wait && expects_answer) decision.verdict = KeyVerdict::kWait;
  return decision;
}

}  // namespace mulberry::gateway
