#ifndef BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_
#define BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_

#include <algorithm>

#include "basilspring/clock.h"

/// Times that the parts of an entry share.
namespace basilspring::fleet::internal {

/// One call of the store; the rest of the caller's time is for repeats.
inline constexpr Duration kStoreTimeout(900);
/// A call of the store is given at least this long, also when its caller's time is nearly over.
inline constexpr Duration kLeastStoreTime(100);
/// A caller that was refused because the scheduler is away or this entry stops comes back after
/// this time: a new scheduler takes over within about three seconds.
inline constexpr Duration kComeBack(1000);
/// What a summary of the scheduler tells may be this old.
inline constexpr Duration kSummaryAge(1900);

/// The time for one call of the store, of what is left of the caller's.
inline Duration StoreTime(Duration left) {
  return std::clamp(left, kLeastStoreTime, kStoreTimeout);
}

}  // namespace basilspring::fleet::internal

#endif  // BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_
