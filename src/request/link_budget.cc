#include <algorithm>

#include "basilspring/request/routing.h"

namespace basilspring {
namespace {

// The bucket must hold the largest job and its answer; otherwise that job could never be sent to
// another region.
constexpr std::uint64_t kMinimumCapacityBits =
    std::uint64_t{8} * (kMaxPayloadBytes + kMaxAnswerBytes + 4096);
constexpr std::uint64_t kMillisecondsPerSecond = 1000;

}  // namespace

std::uint64_t LinkBudget::CapacityBits() const {
  return std::max(kMinimumCapacityBits, rate_ * kMillisecondsPerSecond);
}

std::uint64_t LinkBudget::AvailableBits(TimePoint now) const {
  // A rate of zero disables the link, so the bucket doesn't start full either.
  if (rate_ == 0) return 0;
  if (!last_update_.has_value()) return CapacityBits();
  const std::int64_t elapsed = std::max<std::int64_t>(0, (now - *last_update_).milliseconds());
  return std::min(CapacityBits(),
                  bits_at_last_update_ + static_cast<std::uint64_t>(elapsed) * rate_);
}

void LinkBudget::SetRate(TimePoint now, std::uint32_t kilobits_per_second) {
  if (kilobits_per_second == rate_) return;
  const std::uint64_t available = AvailableBits(now);
  rate_ = kilobits_per_second;
  bits_at_last_update_ = std::min(available, CapacityBits());
  last_update_ = now;
}

bool LinkBudget::Has(TimePoint now, std::uint64_t bytes) const {
  return AvailableBits(now) >= bytes * 8;
}

bool LinkBudget::TryTake(TimePoint now, std::uint64_t bytes) {
  const std::uint64_t available = AvailableBits(now);
  if (available < bytes * 8) return false;
  bits_at_last_update_ = available - bytes * 8;
  last_update_ = now;
  return true;
}

}  // namespace basilspring
