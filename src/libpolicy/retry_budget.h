#pragma once

namespace mulberry {

/// Token bucket that limits the retries and hedges of one class to a ratio of its first attempts
/// plus a small burst, so that retries cannot amplify an overload. Not thread safe.
class RetryBudget {
 public:
  /// Capacity and initial fill of the bucket: retries allowed before any first attempt.
  static constexpr double kBurst = 3.0;

  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  /// Adds the tokens of one first attempt.
  void Deposit();

  /// Takes the token for one retry; false when the budget is spent.
  bool TakeRetry();

  /// Takes the token for one hedge; false when no token would be left for a retry.
  bool TakeHedge();

 private:
  double ratio_;
  double tokens_ = kBurst;
};

}  // namespace mulberry
