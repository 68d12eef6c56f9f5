#ifndef BASILSPRING_FLEET_PASS_PACING_H_
#define BASILSPRING_FLEET_PASS_PACING_H_

#include "basilspring/clock.h"

namespace basilspring::fleet {

/// Decides when the scheduler may run its next pass. Passes share a thread with the answers to
/// reports, which extend the leases of runs.
class PassPacing {
 public:
  /// Records a completed pass.
  void OnPass(TimePoint began, TimePoint ended);
  /// Returns the earliest time of a pass that an event requests. Events until then share it.
  TimePoint EarliestAfterEvent() const;
  /// Returns the time of the next pass if no event requests one; it only checks timers.
  TimePoint NextWithoutEvent() const;

 private:
  TimePoint began_;
  TimePoint ended_;
};

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_PASS_PACING_H_
