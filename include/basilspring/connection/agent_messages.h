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

/// Between cell scheduler and agents, and between the agents of a gang.
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

/// Where one member of a gang runs.
struct GangMember {
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  BASILSPRING_SERIALIZE(rank, worker, agent)
};

/// One task on a worker.
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
  /// Set when state is kFinished: the outcome that has not been delivered yet.
  ErrorKind error = ErrorKind::kNone;
  std::string output;
  BASILSPRING_SERIALIZE(attempt, job, rank, tasks, workspace, job_class, shape, accelerators, state,
                        borrowed, idempotent, running_for, error, output)
};

/// A new cell scheduler makes itself known to an agent, or answers a heartbeat of one that it
/// doesn't know.
struct SchedulerHello {
  CellId cell;
  Epoch epoch;
  BASILSPRING_SERIALIZE(cell, epoch)
};

/// Answer to SchedulerHello: all that the agent owns.
struct AgentReport {
  WorkerId worker;
  RackId rack;
  CellId cell;
  Epoch epoch;
  Address address;
  WorkerCapacity capacity;
  /// Whether a backend server is present and takes new work.
  bool accepting = false;
  std::vector<TaskReport> tasks;
  BASILSPRING_SERIALIZE(worker, rack, cell, epoch, address, capacity, accepting, tasks)
};

/// Every 2 s from an agent to its cell scheduler.
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

/// Reserves resources for one task; the reservation lapses after `reserve_for`.
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
  /// Run of the agent that holds the reservation. Start repeats it: after a restart of the agent
  /// the transport can deliver Prepare and Start once more, and the second run must not start the
  /// task again.
  Incarnation reservation;
  BASILSPRING_SERIALIZE(attempt, rank, error, agent_now, reservation)
};

/// Starts one prepared task. All members of the gang are prepared when it is sent.
struct Start {
  Epoch epoch;
  AttemptId attempt;
  std::uint32_t rank = 0;
  /// On the agent's clock: the task must not start later.
  TimePoint not_after;
  std::vector<GangMember> members;
  std::string payload;
  /// As in Prepared.
  Incarnation reservation;
  BASILSPRING_SERIALIZE(epoch, attempt, rank, not_after, members, payload, reservation)
};

struct TaskStarted {
  AttemptId attempt;
  std::uint32_t rank = 0;
  BASILSPRING_SERIALIZE(attempt, rank)
};

/// A task ended by itself, or could not start. Kept by the agent until TaskDoneAck.
struct TaskDone {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  ErrorKind error = ErrorKind::kNone;
  /// False when the agent knows that the backend server never started the task.
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

/// Stops one task, or drops its reservation. With a grace the backend server checkpoints first.
struct StopTask {
  Epoch epoch;
  AttemptId attempt;
  std::uint32_t rank = 0;
  StopReason reason = StopReason::kCancelled;
  Duration grace;
  BASILSPRING_SERIALIZE(epoch, attempt, rank, reason, grace)
};

/// The task doesn't run any more, or never did. Kept by the agent until TaskDoneAck.
struct TaskStopped {
  AttemptId attempt;
  JobId job;
  std::uint32_t rank = 0;
  bool started = false;
  bool checkpointed = false;
  Duration ran_for;
  BASILSPRING_SERIALIZE(attempt, job, rank, started, checkpointed, ran_for)
};

/// Between the agents of a running gang: every member to the agent of rank 0, and its answer.
struct GangHeartbeat {
  AttemptId attempt;
  std::uint32_t rank = 0;
  WorkerId worker;
  Address agent;
  /// Whether the sender runs the attempt.
  bool running = false;
  /// Set in answers of rank 0: whether it has heard all members within the task lease.
  bool whole = false;
  /// The sender's task has ended with an output, so its silence doesn't break the gang.
  bool finished = false;
  /// Set in answers of rank 0: time since it heard the member that it has not heard for longest.
  /// Members count their lease from that moment, so that the two hops together last one lease.
  Duration whole_age;
  BASILSPRING_SERIALIZE(attempt, rank, worker, agent, running, whole, finished, whole_age)
};

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_AGENT_MESSAGES_H_
