#include "basilspring/fleet/pass_pacing.h"

#include <algorithm>

namespace basilspring::fleet {
namespace {

// Shortest time from the beginning of a pass to the next one.
constexpr Duration kPassInterval(12);
// The same if no event requests a pass.
constexpr Duration kIdlePassInterval(45);

}  // namespace

void PassPacing::OnPass(TimePoint began, TimePoint ended) {
  began_ = began;
  ended_ = ended;
}

TimePoint PassPacing::EarliestAfterEvent() const { return began_ + kPassInterval; }

TimePoint PassPacing::NextWithoutEvent() const {
  return std::max(began_ + kIdlePassInterval, EarliestAfterEvent());
}

}  // namespace basilspring::fleet
