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

/// Placement policy. kFirstFit is the baseline for comparisons.
enum class PlacementPolicy : std::uint8_t {
  /// Minimizes fragmentation, with guarantees, preemption and reservations.
  kGuarantees,
  /// First worker that fits, without guarantees, preemption or reservations.
  kFirstFit,
};

/// The worker and the accelerators that one task is assigned to.
struct TaskPlacement {
  std::uint32_t rank = 0;
  WorkerId worker;
  AcceleratorMask accelerators = 0;
  bool borrowed = false;
};

/// An attempt to be preempted, on one of its workers.
struct Victim {
  WorkerId worker;
  AttemptId attempt;
  JobId job;
};

struct Placed {
  std::vector<TaskPlacement> tasks;
  /// Attempts that must be preempted first, always whole gangs; empty if the capacity is free.
  std::vector<Victim> victims;
  /// Cost of the chosen workers and accelerators; lower is better.
  double score = 0;
  /// One line with the decision and its inputs.
  std::string reason;
};

struct NotPlaced {
  /// kNoCapacity: the job has to wait. kNeverFits: the job would not fit on this cell's workers
  /// even if all were empty. kQuotaExceeded: the job has to wait for its workspace's quota, which
  /// PlaceGang itself doesn't check.
  ErrorKind kind = ErrorKind::kNoCapacity;
  std::string reason;
  /// One line per worker with its free resources or why it was excluded; at most 32 workers.
  std::vector<std::string> candidates;
};

using PlacementResult = std::variant<Placed, NotPlaced>;

struct PlacementInput {
  const CellState* cell = nullptr;
  const JobSpec* job = nullptr;
  TimePoint now;
  PlacementPolicy policy = PlacementPolicy::kGuarantees;
  /// Workers that this job already failed on; they are used only if the gang fits nowhere else.
  std::vector<WorkerId> avoid;
  /// Workers whose free capacity is reserved for a waiting larger job and unavailable to this job.
  /// Runs on them that are bound to the job's workspace stay usable: a reservation must not
  /// withhold a guarantee.
  std::vector<WorkerId> reserved;
  /// Whether this job may preempt others, because it is within its guarantee or urgent.
  bool may_preempt = false;
};

/// Places all tasks of the gang or none. Tries in this order: the workspace's bound runs if they
/// are free, any free capacity, the workspace's bound runs with borrowed tasks evicted, and, for
/// urgent jobs, the capacity of borrowed batch and background tasks; then the same with the avoided
/// workers included. A gang that doesn't fit into the workspace's bound runs as a whole is borrowed
/// as a whole. The function has no side effects; its cost is O(workers × (tasks of the gang + tasks
/// of a worker)).
PlacementResult PlaceGang(const PlacementInput& input);

/// Whether the shape would fit on this cell's workers if all were empty and in service. If not and
/// `reason` is not null, writes an explanation to it.
bool CanEverFit(const CellState& cell, const GangShape& shape, std::string* reason);

/// Fragmentation of the free accelerators of a cell: their number, and the largest aligned
/// power-of-two run of them that one task could get.
struct Fragmentation {
  std::uint32_t free = 0;
  std::uint32_t largest_run = 0;
  /// Share of the free accelerators that can be placed when they are requested in the runs that the
  /// same number of free accelerators would form without fragmentation: as many of the largest
  /// aligned runs as possible, then smaller ones for the rest. 1 if nothing is free.
  double placeable_share = 1.0;
};
Fragmentation MeasureFragmentation(const CellState& cell);

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_PLACEMENT_H_
