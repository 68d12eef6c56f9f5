#include "basilspring/clock.h"

#include <chrono>
#include <ctime>

namespace basilspring {

TimePoint Clock::Now() {
  // CLOCK_MONOTONIC stops while the host is suspended, but leases must expire during that time.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  constexpr std::int64_t kNanosecondsPerMillisecond = 1000000;
  return TimePoint(now.tv_sec * kMillisecondsPerSecond + now.tv_nsec / kNanosecondsPerMillisecond);
}

std::int64_t Clock::WallMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace basilspring
