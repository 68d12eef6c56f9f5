#include "basilspring/request/retry_budget.h"

#include <algorithm>

namespace basilspring {

RetryBudget::RetryBudget(std::uint32_t percent, std::uint32_t capacity)
    : percent_(percent), capacity_hundredths_(capacity * 100), hundredths_(capacity * 100) {}

void RetryBudget::OnSuccess() {
  hundredths_ = std::min(hundredths_ + percent_, capacity_hundredths_);
}

bool RetryBudget::TryRetry() {
  if (hundredths_ < 100) return false;
  hundredths_ -= 100;
  return true;
}

}  // namespace basilspring
