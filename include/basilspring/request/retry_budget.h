#ifndef BASILSPRING_REQUEST_RETRY_BUDGET_H_
#define BASILSPRING_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

namespace basilspring {

/// Retries as a share of successes: each success adds a part of a token, each retry takes one. When
/// most calls fail, retries stop instead of multiplying the load.
class RetryBudget {
 public:
  /// `percent` of successes may be retries; `capacity` tokens at most are saved up, and as many are
  /// there at the start, so that a process without successes yet can retry.
  explicit RetryBudget(std::uint32_t percent, std::uint32_t capacity = 10);
  /// Changes the share; saved tokens stay.
  void SetPercent(std::uint32_t percent) { percent_ = percent; }

  void OnSuccess();
  /// Takes a token; false means that the call must not be retried.
  bool TryRetry();
  std::uint32_t tokens() const { return hundredths_ / 100; }

 private:
  std::uint32_t percent_;
  std::uint32_t capacity_hundredths_;
  /// In hundredths of a token, so that no fraction is lost to rounding.
  std::uint32_t hundredths_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_RETRY_BUDGET_H_
