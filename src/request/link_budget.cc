#include <algorithm>

#include "basilspring/request/routing.h"

namespace basilspring {
namespace {

// The bucket has to hold the largest job and its answer, or that job could never cross.
constexpr std::uint64_t kMinimumCapacityBits =
    std::uint64_t{8} * (kMaxPayloadBytes + kMaxAnswerBytes + 4096);
constexpr std::uint64_t kMillisecondsPerSecond = 1000;

}  // namespace

std::uint64_t LinkBudget::Capacity() const {
  return std::max(kMinimumCapacityBits, rate_ * kMillisecondsPerSecond);
}

std::uint64_t LinkBudget::Level(TimePoint now) const {
  // A budget of zero forbids the link, so it doesn't start full either.
  if (rate_ == 0) return 0;
  if (!filled_.has_value()) return Capacity();
  const std::int64_t elapsed = std::max<std::int64_t>(0, (now - *filled_).milliseconds());
  return std::min(Capacity(), bits_ + static_cast<std::uint64_t>(elapsed) * rate_);
}

void LinkBudget::SetRate(TimePoint now, std::uint32_t kilobits_per_second) {
  if (kilobits_per_second == rate_) return;
  const std::uint64_t level = Level(now);
  rate_ = kilobits_per_second;
  bits_ = std::min(level, Capacity());
  filled_ = now;
}

bool LinkBudget::Has(TimePoint now, std::uint64_t bytes) const { return Level(now) >= bytes * 8; }

bool LinkBudget::TryTake(TimePoint now, std::uint64_t bytes) {
  const std::uint64_t level = Level(now);
  if (level < bytes * 8) return false;
  bits_ = level - bytes * 8;
  filled_ = now;
  return true;
}

}  // namespace basilspring
