#ifndef BASILSPRING_CONNECTION_MESSAGES_H_
#define BASILSPRING_CONNECTION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilspring/clock.h"
#include "basilspring/error.h"
#include "basilspring/ids.h"
#include "basilspring/request/job.h"
#include "basilspring/units.h"

/// All messages between the processes of the system. A message is a plain struct with a cereal
/// member `serialize`; its index in the variant `Message` is its type on the wire, so append and
/// never reorder.
namespace basilspring {

/// IP address and port of a process; the port is the same for TCP and UDP.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  bool empty() const { return ip.empty(); }
  std::string ToString() const;
  /// Reads "ip:port". Throws Error(kInvalidArgument).
  static Address Parse(const std::string& text);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

// Every message below has the same serialize member, so one macro writes it.
#define BASILSPRING_SERIALIZE(...)   \
  template <typename Archive>        \
  void serialize(Archive& archive) { \
    archive(__VA_ARGS__);            \
  }

/// First message of each TCP connection: who dials and where it listens.
struct Hello {
  ProcessId process;
  Incarnation incarnation;
  Address listen;
  BASILSPRING_SERIALIZE(process, incarnation, listen)
};

/// An agent asks an entry who schedules its cell.
struct FindCell {
  CellId cell;
  WorkerId worker;
  BASILSPRING_SERIALIZE(cell, worker)
};

/// Answer to FindCell. An empty holder means that no scheduler holds the cell; epoch is then the
/// last known.
struct CellHolder {
  CellId cell;
  Address holder;
  Epoch epoch;
  /// Entries of the region, so that agents survive the replacement of the entries in their
  /// settings.
  std::vector<Address> entries;
  /// Whether the entry has a current view of the store.
  bool store_reachable = false;
  BASILSPRING_SERIALIZE(cell, holder, epoch, entries, store_reachable)
};

/// An entry hands a job to a cell scheduler. Repeating it is harmless: the scheduler knows the job
/// id, and the entry that sent it last gets the result.
struct SubmitJob {
  JobSpec spec;
  BASILSPRING_SERIALIZE(spec)
};

struct CancelJob {
  JobId job;
  BASILSPRING_SERIALIZE(job)
};

/// Asks for the state of a job and, with explain, for the reasons of its last placement decision.
struct QueryJob {
  JobId job;
  std::uint64_t query = 0;
  BASILSPRING_SERIALIZE(job, query)
};

struct JobAccepted {
  JobId job;
  JobState state = JobState::kQueued;
  BASILSPRING_SERIALIZE(job, state)
};

struct JobProgress {
  JobId job;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  BASILSPRING_SERIALIZE(job, state, attempts)
};

/// The end of a job: answer, refusal or failure. Sent until the entry has received it.
struct JobFinished {
  JobId job;
  JobResult result;
  std::uint32_t attempts = 0;
  BASILSPRING_SERIALIZE(job, result, attempts)
};

/// Answer to QueryJob.
struct JobReport {
  JobId job;
  std::uint64_t query = 0;
  bool known = false;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  std::vector<WorkerId> workers;
  /// One line for each candidate: why the job did or did not go there.
  std::vector<std::string> reasons;
  BASILSPRING_SERIALIZE(job, query, known, state, attempts, workers, reasons)
};

/// Workers of one rack, as far as guarantees need them.
struct RackCapacity {
  RackId rack;
  std::uint32_t workers = 0;
  /// Accelerators of the smallest worker of the rack.
  std::uint32_t accelerators_per_worker = 0;
  BASILSPRING_SERIALIZE(rack, workers, accelerators_per_worker)
};

/// State of one cell, once a second, to the entries of its region.
struct CellSummary {
  CellId cell;
  RegionId region;
  DataCentreId data_centre;
  Epoch epoch;
  Address scheduler;
  ConfigRevision config_revision;
  std::uint32_t workers = 0;
  std::uint32_t free_accelerators = 0;
  std::uint32_t total_accelerators = 0;
  std::uint32_t free_slots = 0;
  /// Number of free aligned runs of 1, 2, 4 and 8 accelerators; a larger run also counts as smaller
  /// ones.
  std::vector<std::uint32_t> free_runs;
  /// Queued jobs and estimated wait, by class.
  std::vector<std::uint32_t> queued;
  std::vector<Duration> estimated_wait;
  std::uint32_t running_tasks = 0;
  /// Whether the scheduler has rebuilt its state and places jobs.
  bool ready = false;
  /// What the workers hold when they are empty; used to check whether guarantees fit.
  std::vector<RackCapacity> racks;
  BASILSPRING_SERIALIZE(cell, region, data_centre, epoch, scheduler, config_revision, workers,
                        free_accelerators, total_accelerators, free_slots, free_runs, queued,
                        estimated_wait, running_tasks, ready, racks)
};

/// An entry makes itself known to a cell scheduler, which then sends its summaries there.
struct EntryHello {
  ProcessId entry;
  Address address;
  RegionId region;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(entry, address, region, config_revision)
};

/// One node of the operators' settings: path such as "/bg-south/plovdiv-a" and its JSON object.
struct ConfigNode {
  std::string path;
  std::string json;
  BASILSPRING_SERIALIZE(path, json)
};

/// All nodes of a configuration that concern one cell.
struct ConfigurationUpdate {
  ConfigRevision revision;
  std::vector<ConfigNode> nodes;
  BASILSPRING_SERIALIZE(revision, nodes)
};

struct ConfigurationInForce {
  CellId cell;
  ConfigRevision revision;
  BASILSPRING_SERIALIZE(cell, revision)
};

/// A cell scheduler asks an entry for a permit to start tasks in its data centre. `request` pairs
/// the answer with the time at which the scheduler sent the request.
struct PermitRequest {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  BASILSPRING_SERIALIZE(data_centre, request)
};

/// Answer to PermitRequest; remaining is zero when no permit is given.
struct Permit {
  DataCentreId data_centre;
  std::uint64_t request = 0;
  Duration remaining;
  /// Whether the data centre is known to be out of service, as opposed to unknown.
  bool out = false;
  ConfigRevision config_revision;
  BASILSPRING_SERIALIZE(data_centre, request, remaining, out, config_revision)
};

/// An entry asks another one to vouch that it is not taking data centres out of service.
struct VouchRequest {
  ProcessId from;
  std::uint64_t request = 0;
  BASILSPRING_SERIALIZE(from, request)
};

/// Answer to VouchRequest. Valid for the data centres that `changing` does not list.
struct Vouch {
  ProcessId from;
  std::uint64_t request = 0;
  ConfigRevision config_revision;
  std::vector<DataCentreId> changing;
  /// False when this entry does not vouch to the requester at all, because it is removing it.
  bool granted = false;
  BASILSPRING_SERIALIZE(from, request, config_revision, changing, granted)
};

/// A new entry tells a registered one that it exists; the answer is RegistrationAck.
struct Registration {
  ProcessId entry;
  Address address;
  BASILSPRING_SERIALIZE(entry, address)
};

struct RegistrationAck {
  ProcessId from;
  BASILSPRING_SERIALIZE(from)
};

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

/// A cell scheduler whose data centre is out of service gives a queued idempotent job back to its
/// entry, which places it elsewhere. The scheduler has forgotten the job.
struct JobReturned {
  JobId job;
  std::uint32_t attempts = 0;
  /// Whether a task of the job has or may have run, so that a later refusal must not say "not run".
  bool ran = false;
  BASILSPRING_SERIALIZE(job, attempts, ran)
};

/// The holder of a cell that stops gracefully asks its agents to choose a successor at once.
struct SchedulerGoodbye {
  CellId cell;
  Epoch epoch;
  BASILSPRING_SERIALIZE(cell, epoch)
};

#undef BASILSPRING_SERIALIZE

/// The order is the wire format: append only.
using Message =
    std::variant<Hello, FindCell, CellHolder, SubmitJob, CancelJob, QueryJob, JobAccepted,
                 JobProgress, JobFinished, JobReport, CellSummary, EntryHello, ConfigurationUpdate,
                 ConfigurationInForce, PermitRequest, Permit, VouchRequest, Vouch, Registration,
                 RegistrationAck, SchedulerHello, AgentReport, Heartbeat, HeartbeatReply, Prepare,
                 Prepared, Start, TaskStarted, TaskDone, TaskDoneAck, StopTask, TaskStopped,
                 GangHeartbeat, SchedulerGoodbye, JobReturned>;

/// Name of the message's type, for logs.
std::string_view MessageName(const Message& message);

}  // namespace basilspring

#endif  // BASILSPRING_CONNECTION_MESSAGES_H_
