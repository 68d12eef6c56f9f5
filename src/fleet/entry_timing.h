#ifndef BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_
#define BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_

#include <algorithm>

#include "basilspring/clock.h"

/// Timing constants shared by the sources of EntryServer.
namespace basilspring::fleet::internal {

/// Longest timeout of one call to the store; the rest of the caller's time is left for retries.
inline constexpr Duration kMaxStoreTimeout(900);
/// Shortest timeout of a call to the store, also if the caller's time is nearly over.
inline constexpr Duration kMinStoreTimeout(100);
/// Delay before a failed call to the store is repeated for a caller.
inline constexpr Duration kStoreRetryDelay(60);
/// Retry-After time of a caller that was refused because there is no scheduler or no configuration.
/// A new scheduler takes over within about three seconds.
inline constexpr Duration kRetryAfter(1000);
/// Age up to which the scheduler's last summary is used.
inline constexpr Duration kMaxSummaryAge(1900);

/// Returns the timeout for one call to the store, given the time that is left for the caller.
inline Duration StoreTimeout(Duration left) {
  return std::clamp(left, kMinStoreTimeout, kMaxStoreTimeout);
}

}  // namespace basilspring::fleet::internal

#endif  // BASILSPRING_SRC_FLEET_ENTRY_TIMING_H_
