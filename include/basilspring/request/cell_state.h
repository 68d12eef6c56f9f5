#ifndef BASILSPRING_REQUEST_CELL_STATE_H_
#define BASILSPRING_REQUEST_CELL_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/messages.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"
#include "basilspring/units.h"

namespace basilspring {

/// One task that occupies resources of a worker: it is prepared, running or stopping.
struct PlacedTask {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  AcceleratorMask accelerators = 0;
  /// Whether the task runs beyond its workspace's guarantee (borrowed), so that it can be
  /// preempted.
  bool borrowed = false;
  TimePoint started;
};

/// One worker (a host with a backend server) as the cell scheduler sees it. The free amounts are
/// the capacity minus what the tasks occupy.
struct WorkerState {
  WorkerId id;
  RackId rack;
  Address agent;
  WorkerCapacity capacity;
  /// Whether the worker accepts new tasks: it has a backend server, is not leaving, and its last
  /// heartbeat is recent.
  bool accepting = false;
  bool quarantined = false;
  /// Whether the worker is limited to one task at a time after a quarantine.
  bool probation = false;
  Cores free_cores;
  Megabytes free_memory;
  Slots free_slots;
  AcceleratorMask free_accelerators = 0;
  std::vector<PlacedTask> tasks;
};

/// Whether a worker is in full service: it accepts new tasks and is neither quarantined nor on
/// probation.
bool InFullService(const WorkerState& worker);

/// An accelerator run on one worker that is bound to a workspace's guarantee. Guaranteed tasks of
/// the workspace run only inside its bound runs, and guaranteed tasks of other workspaces never do,
/// so evicting the borrowed tasks always frees the whole guarantee.
struct BoundRun {
  WorkspaceId workspace;
  WorkerId worker;
  AcceleratorMask accelerators = 0;
};

/// All workers of a cell, the tasks on them, and the runs that are bound to guarantees.
class CellState {
 public:
  /// Adds a worker, or updates its rack, address, capacity and accepting flag and keeps its tasks.
  void UpsertWorker(const WorkerId& id, const RackId& rack, const Address& agent,
                    const WorkerCapacity& capacity, bool accepting);
  void SetAccepting(const WorkerId& id, bool accepting);
  void SetQuarantined(const WorkerId& id, bool quarantined);
  void SetProbation(const WorkerId& id, bool probation);
  /// Removes a worker with its tasks and returns them.
  std::vector<PlacedTask> RemoveWorker(const WorkerId& id);

  /// Adds a task and allocates its resources. Throws Error(kResourcesTaken) if the accelerators are
  /// not free or the worker has this task already, and Error(kNotFound) if the worker is unknown.
  void AddTask(const WorkerId& worker, const PlacedTask& task);
  /// Removes a task and releases its resources; does nothing if the task is unknown.
  void RemoveTask(const WorkerId& worker, const AttemptId& attempt, std::uint32_t rank);
  void SetBorrowed(const WorkerId& worker, const AttemptId& attempt, std::uint32_t rank,
                   bool borrowed);

  void SetBoundRuns(std::vector<BoundRun> runs) { bound_runs_ = std::move(runs); }
  const std::vector<BoundRun>& bound_runs() const { return bound_runs_; }

  const std::map<WorkerId, WorkerState>& workers() const { return workers_; }
  const WorkerState* Find(const WorkerId& id) const;

 private:
  std::map<WorkerId, WorkerState> workers_;
  std::vector<BoundRun> bound_runs_;
};

}  // namespace basilspring

#endif  // BASILSPRING_REQUEST_CELL_STATE_H_
