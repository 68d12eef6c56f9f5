#ifndef BASILSPRING_REQUEST_RETRY_BUDGET_H_
#define BASILSPRING_REQUEST_RETRY_BUDGET_H_

#include <cstdint>

namespace basilspring {

/// Limits retries to a share of the successes: each success adds a fraction of a token, and each
/// retry consumes one token. When most calls fail, retries stop instead of multiplying the load.
class RetryBudget {
 public:
  /// Allows retries up to `percent` of the successes. The budget holds at most `capacity` tokens
  /// and starts full, so that a process without successes can retry.
  explicit RetryBudget(std::uint32_t percent, std::uint32_t capacity = 10);
  /// Changes the share and keeps the current tokens.
  void SetPercent(std::uint32_t percent) { percent_ = percent; }

  void OnSuccess();
  /// Consumes a token. Returns false if there is none, in which case the call must not be retried.
  bool TryRetry();
  std::uint32_t tokens() const { return hundredths_ / 100; }

 private:
  std::uint32_t percent_;
  std::uint32_t capacity_hundredths_;
  /// Tokens in hundredths, so that no fraction is lost to rounding.
  std::uint32_t hundredths_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_RETRY_BUDGET_H_
