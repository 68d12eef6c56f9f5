#ifndef BASILSPRING_REQUEST_RETRY_BUDGET_H_
#define BASILSPRING_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

namespace basilspring {

/// Limits retries to a share of the successes, so that retries can't multiply the load of an
/// overloaded hop. A reserve allows retries when there is little traffic.
class RetryBudget {
 public:
  explicit RetryBudget(int percent) : percent_(percent) {}

  void SetPercent(int percent) { percent_ = percent; }
  void OnSuccess();
  /// Takes one retry out of the budget; false when it is used up.
  bool TryRetry();

 private:
  int percent_;
  /// Hundredths of a retry.
  std::int64_t credit_ = kReserve;

  static constexpr std::int64_t kReserve = 1000;
  static constexpr std::int64_t kLimit = 10000;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_RETRY_BUDGET_H_
