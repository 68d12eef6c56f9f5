#ifndef BASILSPRING_FLEET_DELAY_COST_H_
#define BASILSPRING_FLEET_DELAY_COST_H_

#include <cstdint>

#include "basilspring/clock.h"

/// What a delay costs the caller of a job, as pure functions. Designed for a shortage of capacity,
/// in which some work must wait or be stopped, and callers should lose as little as possible.
namespace basilspring::fleet {

/// Share of the value that a job keeps if it ends late, but while it is still of use.
inline constexpr double kLateShare = 0.2;

/// What the result of a job, or of a part of it, is worth to its caller.
struct JobValue {
  /// Value of each unit of `work`; see WeightOfPriority().
  double weight = 1;
  /// The work in weighted core-seconds (Resources::Weight()).
  double work = 0;
  /// The job is on time if it ends at this time or before.
  TimePoint due;
  /// The job is of no use to its caller if it ends after this time.
  TimePoint useless_after;
  /// The share of the value that is left between `due` and `useless_after`.
  double late_share = kLateShare;
};

/// Returns the weight of a priority. 0 is the most urgent one; each priority counts twice the next.
double WeightOfPriority(std::int32_t priority);

/// Returns the value of an end at this time, in weighted core-seconds.
double ValueOfEnd(const JobValue& value, TimePoint end);

/// Returns the value that is lost if the predicted end moves by `delay`.
double DelayCost(const JobValue& value, TimePoint end, Duration delay);

/// Returns the index by which waiting work is ordered under a shortage, the largest first: the
/// apparent tardiness cost of a delay relative to the square root of the work. `remaining` is the
/// predicted time from the start to the end. Work that can't be of use any more has index 0.
double OrderIndex(const JobValue& value, Duration remaining, TimePoint now);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_DELAY_COST_H_
