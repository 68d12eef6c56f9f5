#ifndef BASILSPRING_SRC_PROCESS_AGENT_TASKS_H_
#define BASILSPRING_SRC_PROCESS_AGENT_TASKS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "basilspring/process/agent_core.h"
#include "basilspring/process/gang_lease.h"
#include "basilspring/process/worker_resources.h"

namespace basilspring::internal {

/// Records the tasks that must not start on this worker (again), so that a repeated or late command
/// is refused. Bounded: the oldest records are dropped first, and a task without a record counts as
/// one that may have started.
class DecidedTasks {
 public:
  struct Decision {
    /// Error with which a further Prepare is refused.
    ErrorKind error = ErrorKind::kNone;
    /// Whether the task has started or may have started.
    bool started = false;
  };
  void Add(const TaskKey& task, Decision decision);
  /// Returns nullptr if there is no record of the task.
  const Decision* Find(const TaskKey& task) const;

 private:
  // Uses 15 MiB when full, with ids of 30 characters. On a worker that starts 10 tasks per second,
  // a record is kept for almost 2 hours.
  static constexpr std::size_t kMaxDecisions = 65536;
  std::map<TaskKey, Decision> decisions_;
  /// Keys of `decisions_`, oldest first.
  std::deque<TaskKey> order_;
};

/// Progress of stopping one task: a checkpoint call, which may last for the grace period, then stop
/// calls until the task has ended.
struct StopProgress {
  StopReason reason = StopReason::kCancelled;
  /// End of the grace period.
  TimePoint checkpoint_deadline;
  bool checkpoint_sent = false;
  bool checkpoint_answered = false;
  bool checkpointed = false;
  /// Whether any stop call was made; `stop_pending` says whether one is unanswered.
  bool stop_sent = false;
  bool stop_pending = false;
  /// Earliest time of the next stop call.
  TimePoint next_stop;
  /// Time by which the task's lease at the backend server has certainly expired.
  TimePoint stop_deadline;
};

/// A task that is reserved, running or stopping on this worker.
struct AgentTask {
  /// The command that reserved the resources; identifies the task.
  Prepare reservation;
  TaskState state = TaskState::kPrepared;
  /// End of the reservation.
  TimePoint expires;
  /// This and all following members are set when the task is started.
  Address backend;
  TimePoint not_after;
  TimePoint start_time;
  /// Whether the start call is unanswered.
  bool start_pending = false;
  /// Whether the backend server has answered that it runs or ran the task.
  bool confirmed = false;
  bool poll_pending = false;
  TimePoint poll_sent;
  TimePoint next_poll;
  /// Last time at which the backend server answered that it runs the task.
  TimePoint last_renewal;
  /// Number of calls in a row that found the backend server unreachable.
  int unreachable_count = 0;
  bool fresh_connection = false;
  std::optional<StopProgress> stop;
};

/// What AgentTasks needs to handle one event.
struct EventContext {
  TimePoint now;
  /// The cell scheduler, which receives the outcomes; empty if none is known.
  Address scheduler;
  AgentOutput& out;
};

/// The tasks of one worker, from their reservation until the cell scheduler has acknowledged their
/// outcome.
class AgentTasks {
 public:
  explicit AgentTasks(const AgentOptions& options);

  WorkerResources& resources() { return resources_; }
  const WorkerResources& resources() const { return resources_; }

  /// `admission` is kNone if the worker takes new tasks, otherwise the error to refuse them with.
  void OnPrepare(const EventContext& context, const Address& from, const Prepare& prepare,
                 ErrorKind admission);
  void OnStart(const EventContext& context, const Address& from, const Start& start,
               ErrorKind admission, const Address& backend);
  void OnStop(const EventContext& context, const Address& from, const StopTask& stop);
  void OnAck(const EventContext& context, const TaskDoneAck& ack);
  void OnGangHeartbeat(const EventContext& context, const Address& from,
                       const GangHeartbeat& heartbeat);
  void OnResult(const EventContext& context, const BackendResult& result);
  void Tick(const EventContext& context);

  /// Refuses a command of a superseded scheduler. A refused start also ends the task's reservation.
  void RefuseStaleCommand(const EventContext& context, const Address& from, const TaskKey& task,
                          bool is_start);
  /// Sends all unacknowledged outcomes to a new scheduler.
  void Redeliver(const EventContext& context);
  /// Ends all reservations of a draining worker, whose starts would be refused anyway.
  void DropReservations(const EventContext& context);
  void StopAll(const EventContext& context, StopReason reason, Duration grace);

  /// All tasks that hold resources or whose outcome is unacknowledged, for an AgentReport.
  std::vector<TaskReport> Reports(TimePoint now) const;
  AgentCounts counts() const;
  /// Resources of the started tasks; reservations are not included.
  Cores used_cores() const;
  Megabytes used_memory() const;

 private:
  using Tasks = std::map<TaskKey, AgentTask>;
  using Outcome = std::variant<TaskDone, TaskStopped>;
  struct UndeliveredOutcome {
    Outcome outcome;
    Prepare reservation;
    TimePoint next_send;
    Duration send_interval;
  };
  /// Whether so many outcomes are unacknowledged that the agent refuses new tasks.
  bool UndeliveredLimitReached() const;

  /// Returns kNone if the task may start now, otherwise the error to refuse it with.
  ErrorKind CheckStart(const EventContext& context, const AgentTask& task, const Start& start,
                       ErrorKind admission) const;
  /// Whether the start names each rank of the gang exactly once and this worker for its own rank.
  static bool HasCompleteMemberList(const AgentTask& task, const Start& start,
                                    const WorkerId& self);
  /// Whether no rank of the gang is known to be unable to run.
  bool CanGangBeComplete(const Start& start) const;
  void BeginTask(const EventContext& context, const TaskKey& key, AgentTask& task,
                 const Start& start, const Address& backend);
  /// Answers a start for which no reservation exists, such as a repeated one.
  void AnswerRepeatedStart(const EventContext& context, const Address& from, const TaskKey& key);

  void OnStartResult(const EventContext& context, Tasks::iterator task,
                     const BackendResult& result);
  void OnPollResult(const EventContext& context, Tasks::iterator task, const BackendResult& result);
  void OnStopResult(const EventContext& context, Tasks::iterator task, const BackendResult& result);
  void OnCheckpointResult(const EventContext& context, Tasks::iterator task,
                          const BackendResult& result);
  void OnTaskUnknown(const EventContext& context, Tasks::iterator task);
  void OnBackendUnreachable(const EventContext& context, Tasks::iterator task);
  /// Records an answer that proves that the backend server runs or ran the task. Reports the start
  /// on the first such answer.
  void ConfirmStarted(const EventContext& context, const TaskKey& key, AgentTask& task) const;
  void SendPoll(const EventContext& context, const TaskKey& key, AgentTask& task) const;
  /// Handles a poll without an answer: polls again, or finishes the task once its lease at the
  /// backend server must have expired.
  void FinishIfLeaseExpired(const EventContext& context, Tasks::iterator task);

  void BeginStop(const EventContext& context, Tasks::iterator task, StopReason reason,
                 Duration grace);
  /// Makes the next call of a stop, if one is due.
  void AdvanceStop(const EventContext& context, Tasks::iterator task);
  /// Stops all tasks of an attempt whose gang is broken.
  void StopAttempt(const EventContext& context, const AttemptId& attempt);

  /// Ends the task: releases its resources and keeps the outcome until it is acknowledged.
  void Finish(const EventContext& context, Tasks::iterator task, Outcome outcome);
  void FinishDone(const EventContext& context, Tasks::iterator task, ErrorKind error, bool started,
                  std::string output, std::string message);
  void FinishStopped(const EventContext& context, Tasks::iterator task, bool started);
  void ExpireReservation(const EventContext& context, Tasks::iterator task);
  /// Sends an outcome to the cell scheduler, if one is known.
  static void Send(const EventContext& context, const Outcome& outcome);
  /// Sends an outcome and schedules its retry with exponential backoff.
  void SendAndScheduleRetry(const EventContext& context, UndeliveredOutcome& undelivered) const;

  AgentOptions options_;
  WorkerResources resources_;
  GangLeases gangs_;
  Tasks tasks_;
  std::map<TaskKey, UndeliveredOutcome> undelivered_;
  DecidedTasks decided_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_AGENT_TASKS_H_
