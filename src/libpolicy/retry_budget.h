#pragma once

namespace mulberry {

/// Bounds the retries and hedges of one class to a share of its first attempts plus a small burst,
/// so that retries cannot multiply an overload. Not thread safe.
class RetryBudget {
 public:
  /// Further attempts that may be made before any first attempt has earned them.
  static constexpr double kBurst = 3.0;

  explicit RetryBudget(double share) : share_(share) {}

  /// Credits one first attempt.
  void Deposit();

  /// Takes one retry; false when the budget is spent.
  bool TakeRetry();

  /// Takes one hedge; false when that would leave nothing for a retry.
  bool TakeHedge();

 private:
  double share_;
  double tokens_ = kBurst;
};

}  // namespace mulberry
