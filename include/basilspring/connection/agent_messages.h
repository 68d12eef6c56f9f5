#ifndef BASILSPRING_CONNECTION_AGENT_MESSAGES_H_
#define BASILSPRING_CONNECTION_AGENT_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/connection/address.h"
#include "basilspring/connection/serialize.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"
#include "basilspring/units.h"

/// Messages between cell scheduler and agents, and between the agents of a gang.
namespace basilspring {

/// Capacity of a worker, as its backend server announced it.
struct WorkerCapacity {
  Cores cores;
  Megabytes memory;
  Accelerators accelerators;
  Slots slots;
  Connections connections;
  auto operator<=>(const WorkerCapacity&) const = default;
  BASILSPRING_SERIALIZE(cores, memory, accelerators, slots, connections)
};

enum class TaskState : std::uint8_t { kPrepared = 0, kRunning, kStopping, kFinished };

/// The worker and the agent of one member of a gang.
struct GangMember {
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  BASILSPRING_SERIALIZE(rank, worker, agent)
};

/// State of one task on a worker, as part of an AgentReport.
struct TaskReport {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  std::uint32_t tasks = 0;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  AcceleratorMask accelerators = 0;
  TaskState state = TaskState::kPrepared;
  bool borrowed = false;
  bool idempotent = true;
  Duration running_for;
  /// The outcome, which the scheduler has not acknowledged yet. Set only if `state` is kFinished.
  ErrorKind error = ErrorKind::kNone;
  std::string output;
  BASILSPRING_SERIALIZE(attempt, job, rank, tasks, workspace, job_class, shape, accelerators, state,
                        borrowed, idempotent, running_for, error, output)
};

/// Announces a cell scheduler to an agent. Sent by a new scheduler, and in answer to a heartbeat of
/// an agent that the scheduler doesn't know.
struct SchedulerHello {
  CellId cell;
  Epoch epoch;
  BASILSPRING_SERIALIZE(cell, epoch)
};

/// Answer to SchedulerHello: the state of the agent, its worker and all its tasks.
struct AgentReport {
  WorkerId worker;
  RackId rack;
  CellId cell;
  Epoch epoch;
  Address address;
  WorkerCapacity capacity;
  /// Whether a backend server is present and accepts new tasks.
  bool accepting = false;
  std::vector<TaskReport> tasks;
  BASILSPRING_SERIALIZE(worker, rack, cell, epoch, address, capacity, accepting, tasks)
};

/// Sent every 2 s by an agent to its cell scheduler.
struct Heartbeat {
  WorkerId worker;
  RackId rack;
  Address address;
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::uint32_t tasks = 0;
  bool accepting = false;
  Cores used_cores;
  Megabytes used_memory;
  BASILSPRING_SERIALIZE(worker, rack, address, epoch, sequence, tasks, accepting, used_cores,
                        used_memory)
};

struct HeartbeatReply {
  CellId cell;
  Epoch epoch;
  std::uint64_t sequence = 0;
  BASILSPRING_SERIALIZE(cell, epoch, sequence)
};

/// Reserves resources for one task; the reservation expires after `reserve_for`.
struct Prepare {
  Epoch epoch;
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  std::uint32_t tasks = 0;
  WorkspaceId workspace;
  JobClass job_class = JobClass::kBatch;
  GangShape shape;
  AcceleratorMask accelerators = 0;
  bool borrowed = false;
  bool idempotent = true;
  Duration reserve_for;
  BASILSPRING_SERIALIZE(epoch, attempt, job, rank, tasks, workspace, job_class, shape, accelerators,
                        borrowed, idempotent, reserve_for)
};

/// Answer to Prepare. `agent_now` is the agent's clock, against which the scheduler sets
/// Start.not_after.
struct Prepared {
  AttemptId attempt;
  std::uint32_t rank = 0;
  ErrorKind error = ErrorKind::kNone;
  TimePoint agent_now;
  /// Incarnation of the agent that holds the reservation. Start repeats it: after a restart of the
  /// agent the transport can deliver Prepare and Start once more, and the new incarnation must not
  /// start the task again.
  Incarnation reservation;
  BASILSPRING_SERIALIZE(attempt, rank, error, agent_now, reservation)
};

/// Starts one prepared task. Sent once all members of the gang are prepared.
struct Start {
  Epoch epoch;
  AttemptId attempt;
  std::uint32_t rank = 0;
  /// Latest time at which the task may start, on the agent's clock.
  TimePoint not_after;
  std::vector<GangMember> members;
  std::string payload;
  /// Copied from Prepared.
  Incarnation reservation;
  BASILSPRING_SERIALIZE(epoch, attempt, rank, not_after, members, payload, reservation)
};

struct TaskStarted {
  AttemptId attempt;
  std::uint32_t rank = 0;
  BASILSPRING_SERIALIZE(attempt, rank)
};

/// Reports that a task ended by itself or could not start. The agent keeps it until it receives
/// TaskDoneAck.
struct TaskDone {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  ErrorKind error = ErrorKind::kNone;
  /// False if the agent knows that the backend server never started the task.
  bool started = false;
  std::string output;
  std::string message;
  Duration ran_for;
  BASILSPRING_SERIALIZE(attempt, job, rank, error, started, output, message, ran_for)
};

struct TaskDoneAck {
  AttemptId attempt;
  std::uint32_t rank = 0;
  BASILSPRING_SERIALIZE(attempt, rank)
};

enum class StopReason : std::uint8_t {
  kCancelled = 0,
  kPreempted,
  kGangMemberLost,
  kGangNotStarted,
  kDataCentreOut,
  kDeadline,
};
std::string_view StopReasonName(StopReason reason);

/// Stops one task, or cancels its reservation. With a grace period the backend server checkpoints
/// the task first.
struct StopTask {
  Epoch epoch;
  AttemptId attempt;
  std::uint32_t rank = 0;
  StopReason reason = StopReason::kCancelled;
  Duration grace;
  BASILSPRING_SERIALIZE(epoch, attempt, rank, reason, grace)
};

/// Reports that a task no longer runs, or never did. The agent keeps it until it receives
/// TaskDoneAck.
struct TaskStopped {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  bool started = false;
  bool checkpointed = false;
  Duration ran_for;
  BASILSPRING_SERIALIZE(attempt, job, rank, started, checkpointed, ran_for)
};

/// Sent for every member of a running gang by its agent to the agent of rank 0, which answers with
/// a GangHeartbeat of its own.
struct GangHeartbeat {
  AttemptId attempt;
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  /// Whether the sender runs the attempt.
  bool running = false;
  /// Set in answers of rank 0: whether the gang is complete, that is, whether rank 0 has heard from
  /// all members within the task lease.
  bool gang_complete = false;
  /// Whether the sender's task has ended with an output, so that its further silence doesn't break
  /// the gang.
  bool finished = false;
  /// Set in answers of rank 0: time since the last heartbeat of the member that rank 0 has not
  /// heard from for longest. Members count their task lease from that heartbeat, so that a loss is
  /// detected over both hops within one lease.
  Duration time_since_complete;
  BASILSPRING_SERIALIZE(attempt, rank, worker, agent, running, gang_complete, finished,
                        time_since_complete)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_AGENT_MESSAGES_H_
