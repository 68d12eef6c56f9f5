#include "basilspring/request/retry_budget.h"

#include <algorithm>

namespace basilspring {

void RetryBudget::OnSuccess() { credit_ = std::min(credit_ + percent_, kLimit); }

bool RetryBudget::TryRetry() {
  if (credit_ < 100) return false;
  credit_ -= 100;
  return true;
}

}  // namespace basilspring
