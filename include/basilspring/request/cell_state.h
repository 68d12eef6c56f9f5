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

/// One task that holds resources of a worker: prepared, running or stopping.
struct PlacedTask {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  AcceleratorMask accelerators = 0;
  /// Whether it stands outside its workspace's guarantee, so that it can be preempted.
  bool borrowed = false;
  TimePoint started;
};

/// One worker as the cell scheduler sees it. Free amounts are capacity less what the tasks hold.
struct WorkerState {
  WorkerId id;
  RackId rack;
  Address agent;
  WorkerCapacity capacity;
  /// Takes new work: a backend server is there, it isn't leaving, the heartbeat is recent.
  bool accepting = false;
  bool quarantined = false;
  /// Takes one task at a time, after a quarantine.
  bool probation = false;
  Cores free_cores;
  Megabytes free_memory;
  Slots free_slots;
  AcceleratorMask free_accelerators = 0;
  std::vector<PlacedTask> tasks;
};

/// Whether a worker is in full service: it takes new work and is neither in quarantine nor on
/// probation.
bool InFullService(const WorkerState& worker);

/// Accelerators that a guarantee is bound to. Guaranteed tasks of the workspace run only inside its
/// own runs, and nobody else's guaranteed task does, so evicting borrowers always frees the whole
/// guarantee.
struct BoundRun {
  WorkspaceId workspace;
  WorkerId worker;
  AcceleratorMask accelerators = 0;
};

/// All workers of a cell, what runs on them, and the guarantees that are bound to them.
class CellState {
 public:
  /// Adds a worker or changes its capacity and flags; its tasks stay.
  void UpsertWorker(const WorkerId& id, const RackId& rack, const Address& agent,
                    const WorkerCapacity& capacity, bool accepting);
  void SetAccepting(const WorkerId& id, bool accepting);
  void SetQuarantined(const WorkerId& id, bool quarantined);
  void SetProbation(const WorkerId& id, bool probation);
  /// Removes a worker with its tasks and returns them.
  std::vector<PlacedTask> RemoveWorker(const WorkerId& id);

  /// Takes resources. Throws Error(kResourcesTaken) when the accelerators are not free, and
  /// Error(kNotFound) when the worker is unknown.
  void AddTask(const WorkerId& worker, const PlacedTask& task);
  /// Gives resources back; does nothing when the task is unknown.
  void RemoveTask(const WorkerId& worker, const AttemptId& attempt, std::uint32_t rank);
  /// Changes whether a task counts as borrowed.
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
