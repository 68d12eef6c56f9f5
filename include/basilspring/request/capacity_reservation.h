#ifndef BASILSPRING_REQUEST_CAPACITY_RESERVATION_H_
#define BASILSPRING_REQUEST_CAPACITY_RESERVATION_H_

#include <functional>
#include <optional>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/ids.h"
#include "basilspring/request/cell_state.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// Workers whose capacity is reserved for a large waiting job.
struct CapacityReservation {
  JobId job;
  /// Passed as PlacementInput::reserved for all jobs except this one.
  std::vector<WorkerId> workers;
  /// Expected start of the job on these workers if no other task starts there.
  TimePoint start;
};

/// Returns when a running task is expected to end according to its corrected run time.
using ExpectedEnd = std::function<TimePoint(const PlacedTask&)>;

/// Chooses the workers that can hold the gang earliest. Returns std::nullopt if the gang doesn't
/// fit on the cell's workers in full service. O(tasks of the cell × tasks that fit on a worker).
std::optional<CapacityReservation> ReserveCapacity(const CellState& cell, const JobId& job,
                                                   const GangShape& shape, TimePoint now,
                                                   const ExpectedEnd& expected_end);

/// Whether a job with this corrected run time that starts now on the reserved workers ends before
/// the job of the reservation can start.
bool MayBackfill(const CapacityReservation& reservation, TimePoint now, Duration run_time);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_CAPACITY_RESERVATION_H_
