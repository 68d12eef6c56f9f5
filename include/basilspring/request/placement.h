#ifndef BASILSPRING_REQUEST_PLACEMENT_H_
#define BASILSPRING_REQUEST_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/ids.h"
#include "basilspring/request/cell_state.h"
#include "basilspring/request/job.h"

namespace basilspring {

/// Which policy decides. The baseline is there to be measured against.
enum class PlacementPolicy : std::uint8_t {
  /// Least fragmentation, guarantees and preemption.
  kGuarantees,
  /// First worker that fits, no guarantees, no preemption, no reservation.
  kFirstFit,
};

/// Where one task goes.
struct TaskPlacement {
  std::uint32_t rank = 0;
  WorkerId worker;
  AcceleratorMask accelerators = 0;
  bool borrowed = false;
};

/// A running task that has to make room.
struct Victim {
  WorkerId worker;
  AttemptId attempt;
  JobId job;
};

struct Placed {
  std::vector<TaskPlacement> tasks;
  /// Attempts that must be stopped first, whole gangs; empty when the room is free now.
  std::vector<Victim> victims;
  /// Cost of the places; lower is better.
  double score = 0;
  /// One line with the decision and its inputs.
  std::string reason;
};

struct NotPlaced {
  /// kNoCapacity: wait. kNeverFits: no arrangement of this cell's workers can hold the job.
  /// kQuotaExceeded.
  ErrorKind kind = ErrorKind::kNoCapacity;
  std::string reason;
  /// One line for each worker that was excluded, at most a few dozen.
  std::vector<std::string> candidates;
};

using PlacementResult = std::variant<Placed, NotPlaced>;

struct PlacementInput {
  const CellState* cell = nullptr;
  const JobSpec* job = nullptr;
  TimePoint now;
  PlacementPolicy policy = PlacementPolicy::kGuarantees;
  /// Workers that this job already failed on, which are taken last.
  std::vector<WorkerId> avoid;
  /// Workers whose free room is kept for a larger job that waits; not used unless for that job.
  /// Runs on them that are bound to the job's workspace stay usable: a reservation must not hold
  /// back a guarantee.
  std::vector<WorkerId> reserved;
  /// Whether tasks may be preempted for this job: it is inside its guarantee, or urgent.
  bool may_preempt = false;
};

/// Decides where the gang goes: all of it or nothing. Tried in this order: the workspace's own runs
/// if they are free, any free room, the workspace's own runs with borrowers evicted, and, for
/// urgent jobs, the room of borrowed batch and background work; then all again with the avoided
/// workers. A gang that doesn't fit into the workspace's own runs whole is borrowed whole. Pure;
/// the cost is O(workers × (tasks of the gang + tasks of a worker)).
PlacementResult PlaceGang(const PlacementInput& input);

/// Whether the shape could ever be placed on this cell's workers if they were all empty and in
/// service.
bool CanEverFit(const CellState& cell, const GangShape& shape, std::string* reason);

/// The largest aligned power-of-two run of free accelerators that one task could get, and all free
/// ones, as a measure of fragmentation.
struct Fragmentation {
  std::uint32_t free = 0;
  std::uint32_t largest_run = 0;
  /// Accelerators that could be used if free ones were taken in the largest aligned runs possible,
  /// as a share of the free ones; 1 when nothing is free. The runs asked for are those that as many
  /// free accelerators would form without fragmentation: as many of the largest as fit, then
  /// smaller ones for the rest.
  double placeable_share = 1.0;
};
Fragmentation MeasureFragmentation(const CellState& cell);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_PLACEMENT_H_
