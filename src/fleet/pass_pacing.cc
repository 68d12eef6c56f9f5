#include "basilspring/fleet/pass_pacing.h"

#include <algorithm>
#include <cstdint>

namespace basilspring::fleet {
namespace {

// Shortest time from the beginning of a pass to the next one.
constexpr Duration kPassInterval(12);
// The same if no event requests a pass.
constexpr Duration kIdlePassInterval(45);
// After a pass, the thread is left to other work for this multiple of the time that the pass took,
// so that passes use at most a quarter of it.
constexpr std::int64_t kRestPerPassTime = 3;
// Longest such time, so that waiting work is still started several times a second.
constexpr Duration kMaxRest(300);

}  // namespace

void PassPacing::OnPass(TimePoint began, TimePoint ended) {
  began_ = began;
  ended_ = ended;
}

TimePoint PassPacing::EarliestAfterEvent() const {
  const Duration rest = std::min((ended_ - began_) * kRestPerPassTime, kMaxRest);
  return std::max(began_ + kPassInterval, ended_ + rest);
}

TimePoint PassPacing::NextWithoutEvent() const {
  return std::max(began_ + kIdlePassInterval, EarliestAfterEvent());
}

}  // namespace basilspring::fleet
