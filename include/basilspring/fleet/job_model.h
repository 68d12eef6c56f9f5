#ifndef BASILSPRING_FLEET_JOB_MODEL_H_
#define BASILSPRING_FLEET_JOB_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/ids.h"

/// The job model: a job has steps that depend on each other, a step has equal tasks, and a task is
/// run until one of its runs succeeds.
namespace basilspring::fleet {

/// Name of a queue; the operator's configuration says which service runs its tasks.
using QueueId = StringId<struct QueueIdTag>;
/// Name of a service: a pool of backend servers.
using ServiceId = StringId<struct ServiceIdTag>;
/// Id of one life of a backend server.
using BackendId = StringId<struct BackendIdTag>;
/// Name of a process of the system.
using NodeId = StringId<struct NodeIdTag>;
/// Counts the holders of the scheduler's lease; the fencing token of all their orders.
using Term = NumberId<struct TermTag>;
/// Number of a start of a task; rises with each start, also across schedulers.
using RunNumber = NumberId<struct RunNumberTag>;

/// What one task occupies on a worker, or what a worker offers.
struct Resources {
  /// Thousandths of a core.
  std::int64_t milli_cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const Resources&) const = default;
  BASILSPRING_SERIALIZE(milli_cores, memory_mb, accelerators)

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /// Whether this much is available in `room`.
  bool FitsIn(const Resources& room) const;
  /// How many times this fits into `room`; 0 when a part of the room is overcommitted.
  std::int64_t CountIn(const Resources& room) const;
  /// Size in core-seconds per second of run time; an accelerator counts as 8 cores.
  double Weight() const;
};

/// One step of a job: `task_count` equal tasks.
struct StepSpec {
  std::int32_t task_count = 1;
  Resources needs;
  /// The caller's estimate of one task's run time; often wrong.
  Duration estimate;
  /// Numbers of earlier steps that must be finished first.
  std::vector<std::int32_t> after;
  /// The tasks save checkpoints, from which another run can continue.
  bool checkpoints = false;
  /// The tasks run only all together and end together.
  bool gang = false;
  /// The tasks are much slower when they are spread over several racks.
  bool same_rack = false;
  /// Label that the worker must have; empty for none.
  std::string required_label;
  /// Rack of the step's data, on which its tasks are fastest; empty for none.
  std::string data_rack;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::int32_t max_per_worker = 0;
  /// Several runs of one task may work at the same time.
  bool speculative = false;
  /// The tasks run until the job is cancelled.
  bool long_running = false;

  BASILSPRING_SERIALIZE(task_count, needs, estimate, after, checkpoints, gang, same_rack,
                        required_label, data_rack, max_per_worker, speculative, long_running)
};

/// A job as its caller submitted it. It never changes after it was accepted.
struct JobSpec {
  JobId id;
  QueueId queue;
  WorkspaceId workspace;
  /// Passed on to the backend servers unread.
  std::string payload;
  std::vector<StepSpec> steps;
  /// How often the steps run; 0 for a job that runs once, at once.
  std::int32_t occurrences = 0;
  /// Due time of the first occurrence, in milliseconds since the Unix epoch.
  std::int64_t first_due_unix_ms = 0;
  Duration interval;
  /// Wall clock of the entry that accepted the job, in milliseconds since the Unix epoch.
  std::int64_t accepted_unix_ms = 0;

  BASILSPRING_SERIALIZE(id, queue, workspace, payload, steps, occurrences, first_due_unix_ms,
                        interval, accepted_unix_ms)

  std::int32_t occurrence_count() const { return occurrences > 0 ? occurrences : 1; }
};

/// Identifies a task: one index of one step of one occurrence of a job.
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
  /// By its own fault or the backend server's; the only end that counts as an attempt.
  kFailed,
  kStopped,
  /// The lease of the backend server ran out.
  kLapsed,
  /// Another member of the gang ended.
  kGangBroken,
  /// The other members of the gang did not arrive in time.
  kGangIncomplete,
};

std::string_view RunEndName(RunEnd end);

/// A run that ended as failed. Recorded by its number, because its end can be listed again to the
/// next scheduler.
struct FailedRun {
  std::int32_t index = 0;
  RunNumber run;
  BASILSPRING_SERIALIZE(index, run)
};

/// What the scheduler has recorded about one step of one occurrence.
struct StepProgress {
  /// For each task 1 when it has succeeded; empty while none has.
  std::vector<std::uint8_t> done;
  std::vector<FailedRun> failed_runs;
  /// Agents that may have runs of the step; written before a run is ordered from them.
  std::vector<NodeId> agents;

  BASILSPRING_SERIALIZE(done, failed_runs, agents)
};

/// What must survive the scheduler: written to the store before an end is acknowledged to the
/// backend server that lists it.
struct JobProgress {
  std::uint8_t phase = 0;
  /// Wall clock of the final phase, in milliseconds since the Unix epoch; 0 before.
  std::int64_t finished_unix_ms = 0;
  /// Row for row the steps of occurrence 0, then of occurrence 1, and so on.
  std::vector<StepProgress> steps;

  BASILSPRING_SERIALIZE(phase, finished_unix_ms, steps)
};

std::string EncodeJobSpec(const JobSpec& spec);
/// Throws Error(kBadFrame).
JobSpec DecodeJobSpec(const std::string& bytes);
std::string EncodeJobProgress(const JobProgress& progress);
/// Throws Error(kBadFrame).
JobProgress DecodeJobProgress(const std::string& bytes);

}  // namespace basilspring::fleet

#endif  // BASILSPRING_FLEET_JOB_MODEL_H_
