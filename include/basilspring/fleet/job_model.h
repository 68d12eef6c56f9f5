#ifndef BASILSPRING_FLEET_JOB_MODEL_H_
#define BASILSPRING_FLEET_JOB_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// The job model: a job consists of steps with dependencies between them, a step consists of
/// identical tasks, and a task is started until one of its runs succeeds. A run is one start of one
/// task.
namespace basilspring::fleet {

/// Name of a queue. The operator's configuration maps it to the service that runs its tasks.
using QueueId = StringId<struct QueueIdTag>;
/// Name of a service: a pool of backend servers.
using ServiceId = StringId<struct ServiceIdTag>;
/// Id of one incarnation of a backend server.
using BackendId = StringId<struct BackendIdTag>;
/// Name of a node, which is a process of the system.
using NodeId = StringId<struct NodeIdTag>;
/// Counts the holders of the lease of the fleet's scheduler. It is the fencing token of all orders
/// that a scheduler sends.
using Term = NumberId<struct TermTag>;
/// Number of a run of a task. Increases with each start, also across schedulers.
using RunNumber = NumberId<struct RunNumberTag>;

/// Resources that one task occupies on a worker, or that a worker offers.
struct Resources {
  /// Thousandths of a core.
  std::int64_t milli_cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;
  BASILSPRING_SERIALIZE(milli_cores, memory_mb, accelerators)

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// Returns whether these resources are available in `available`.
  bool FitsIn(const Resources& available) const;
  /// Returns how many times these resources fit into `available`; 0 if a needed resource is
  /// overcommitted there.
  std::int64_t CountIn(const Resources& available) const;
  /// Returns the weighted number of cores, that is, core-seconds per second of run time. An
  /// accelerator counts as 8 cores; memory does not count.
  double Weight() const;
};

/// One step of a job: `task_count` identical tasks.
struct StepSpec {
  std::int32_t task_count = 1;
  Resources needs;
  /// The caller's estimate of the run time of one task. It is often wrong.
  Duration estimate;
  /// Indices of earlier steps that must complete before this one starts.
  std::vector<std::int32_t> after;
  /// If true, the tasks save checkpoints from which another run can continue.
  bool checkpoints = false;
  /// If true, the tasks form a gang: they run only all at the same time, and end together.
  bool gang = false;
  /// If true, the tasks are much slower when they are spread over several racks.
  bool same_rack = false;
  /// Label that the worker must have; empty if none is required.
  std::string required_label;
  /// Rack of the step's data, on which its tasks run fastest; empty if there is none.
  std::string data_rack;
  /// The maximum number of the step's tasks on one worker; 0 if there is no limit.
  std::int32_t max_per_worker = 0;
  /// If true, several runs of one task may be active at the same time.
  bool speculative = false;
  /// If true, the tasks run until the job is cancelled.
  bool long_running = false;

  BASILSPRING_SERIALIZE(task_count, needs, estimate, after, checkpoints, gang, same_rack,
                        required_label, data_rack, max_per_worker, speculative, long_running)
};

/// A job as its caller submitted it. Immutable once the job is accepted.
struct JobSpec {
  JobId id;
  QueueId queue;
  WorkspaceId workspace;
  /// Opaque bytes that are passed to the backend servers.
  std::string payload;
  std::vector<StepSpec> steps;
  /// The number of times the steps run; 0 for a job that runs once, immediately.
  std::int32_t occurrences = 0;
  /// Due time of the first occurrence, in milliseconds since the Unix epoch.
  std::int64_t first_due_unix_ms = 0;
  Duration interval;
  /// When the job was accepted, by the wall clock of the entry that accepted it, in milliseconds
  /// since the Unix epoch.
  std::int64_t accepted_unix_ms = 0;

  BASILSPRING_SERIALIZE(id, queue, workspace, payload, steps, occurrences, first_due_unix_ms,
                        interval, accepted_unix_ms)

  std::int32_t occurrence_count() const { return occurrences > 0 ? occurrences : 1; }
};

/// Identifies a task by its job, the occurrence of the job, the step, and its index in the step.
struct TaskId {
  JobId job;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
  BASILSPRING_SERIALIZE(job, occurrence, step, index)
  std::string ToString() const;
};

enum class JobPhase : std::uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };

std::string_view JobPhaseName(JobPhase phase);
inline bool IsFinal(JobPhase phase) { return phase >= JobPhase::kCompleted; }

/// How a run ended.
enum class RunEnd : std::uint8_t {
  kDone,
  /// The task or the backend server failed. Only this end counts towards Queue::max_attempts.
  kFailed,
  kStopped,
  /// The lease of the backend server expired.
  kLapsed,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

std::string_view RunEndName(RunEnd end);

/// A run that ended as kFailed. Recorded by its number, so that it is not counted again when its
/// end is listed again to the next scheduler.
struct FailedRun {
  std::int32_t index = 0;
  RunNumber run;
  BASILSPRING_SERIALIZE(index, run)
};

/// A run that had certainly begun when its worker crashed, and that may have been the cause. Such a
/// run has no end.
struct CrashedRun {
  /// The step's index as in JobProgress::steps, and the task's index in the step.
  std::int32_t step = 0;
  std::int32_t index = 0;
  RunNumber run;
  /// Whether a poll had listed the run before the crash.
  bool listed = false;
  BASILSPRING_SERIALIZE(step, index, run, listed)
};

/// The scheduler's record of one step of one occurrence.
struct StepProgress {
  /// For each task 1 if it has succeeded, otherwise 0; empty while no task has succeeded.
  std::vector<std::uint8_t> done;
  std::vector<FailedRun> failed_runs;
  /// Agents that may have runs of the step. An agent is stored here before it is ordered to start a
  /// run.
  std::vector<NodeId> agents;

  BASILSPRING_SERIALIZE(done, failed_runs, agents)
};

/// The part of a job's state that must survive a change of the scheduler. Written to the store
/// before an end is acknowledged to the backend server that lists it.
struct JobProgress {
  /// A JobPhase; see PhaseIn().
  std::uint8_t phase = 0;
  /// When the job reached its final phase, in milliseconds since the Unix epoch; 0 before that.
  std::int64_t finished_unix_ms = 0;
  /// The steps of occurrence 0, followed by those of occurrence 1, and so on.
  std::vector<StepProgress> steps;
  /// Appended to the other members, so that records without crashes, and those of earlier versions,
  /// have the same form.
  std::vector<CrashedRun> crashed_runs;

  BASILSPRING_SERIALIZE(phase, finished_unix_ms, steps)
};

/// Returns the phase of the job as far as the record shows it. A record that only names agents is
/// written before a start is sent, and does not show that the job has begun. Earlier versions
/// record a job that has begun as kQueued; its ends and crashes show that it has.
JobPhase PhaseIn(const JobProgress& progress);
/// Returns the number of tasks that the record holds as done. The record of a finished job holds
/// its phase only.
std::int64_t CountDoneTasks(const JobProgress& progress);

std::string EncodeJobSpec(const JobSpec& spec);
/// Throws Error(kBadFrame) if the bytes are malformed or describe no possible job.
JobSpec DecodeJobSpec(const std::string& bytes);
std::string EncodeJobProgress(const JobProgress& progress);
/// Throws Error(kBadFrame) if the bytes are malformed or the phase is out of range.
JobProgress DecodeJobProgress(const std::string& bytes);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_JOB_MODEL_H_
