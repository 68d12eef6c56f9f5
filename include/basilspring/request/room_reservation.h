#ifndef BASILSPRING_REQUEST_ROOM_RESERVATION_H_
#define BASILSPRING_REQUEST_ROOM_RESERVATION_H_

#include <functional>
#include <optional>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/ids.h"
#include "basilspring/request/cell_state.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// Workers whose room is kept for a large job that waits.
struct RoomReservation {
  JobId job;
  /// To be passed as PlacementInput::reserved for all jobs but this one.
  std::vector<WorkerId> workers;
  /// When the job could start on them, if nothing else starts there.
  TimePoint start;
};

/// When a running task is expected to end by its corrected run time.
using ExpectedEnd = std::function<TimePoint(const PlacedTask&)>;

/// Chooses the workers that have room for the gang first. Nothing when the cell's workers that are
/// in full service can't hold it. O(tasks of the cell × tasks that fit on a worker).
std::optional<RoomReservation> ReserveRoom(const CellState& cell, const JobId& job,
                                           const GangShape& shape, TimePoint now,
                                           const ExpectedEnd& expected_end);

/// Whether a job that starts now on reserved workers ends before the reservation's job could start;
/// `run_time` is its corrected run time.
bool MayBackfill(const RoomReservation& reservation, TimePoint now, Duration run_time);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_ROOM_RESERVATION_H_
