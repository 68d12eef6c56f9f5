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

/// Attempts that can never start here any more. Bounded: the oldest are forgotten first, and a
/// forgotten attempt counts as one that may have started.
class DecidedTasks {
 public:
  struct Decision {
    ErrorKind error = ErrorKind::kNone;
    bool started = false;
  };
  void Add(const TaskKey& task, Decision decision);
  const Decision* Find(const TaskKey& task) const;

 private:
  // 15 MiB when full, with ids of 30 characters. A worker that starts 10 tasks a second forgets
  // after almost 2 hours.
  static constexpr std::size_t kMaxDecisions = 65536;
  std::map<TaskKey, Decision> decisions_;
  std::deque<TaskKey> order_;
};

/// A stop that is under way: checkpoint, wait up to the grace, stop.
struct StopProgress {
  StopReason reason = StopReason::kCancelled;
  TimePoint checkpoint_until;
  bool checkpoint_sent = false;
  bool checkpoint_answered = false;
  bool checkpointed = false;
  bool stop_sent = false;
  bool stop_pending = false;
  TimePoint next_stop;
  /// The lease at the backend server has certainly lapsed by then.
  TimePoint give_up;
};

struct AgentTask {
  /// Resources and identity, as they were reserved.
  Prepare reservation;
  TaskState state = TaskState::kPrepared;
  TimePoint expires;
  /// The rest is set once the task was started.
  Address backend;
  TimePoint not_after;
  TimePoint started;
  bool start_pending = false;
  /// The backend server has said that it runs, or ran, the task.
  bool confirmed = false;
  bool poll_pending = false;
  TimePoint poll_sent;
  TimePoint next_poll;
  /// Last time at which the backend server answered that the task runs.
  TimePoint renewed;
  int unreachable = 0;
  bool fresh_connection = false;
  std::optional<StopProgress> stop;
};

/// One event as the tasks see it.
struct Step {
  TimePoint now;
  /// Where outcomes go; empty while no scheduler is known.
  Address scheduler;
  AgentOutput& out;
};

/// The tasks of one worker from reservation to acknowledged outcome.
class AgentTasks {
 public:
  explicit AgentTasks(const AgentOptions& options);

  WorkerResources& resources() { return resources_; }
  const WorkerResources& resources() const { return resources_; }

  /// `admission` is kNone when the worker takes new work.
  void OnPrepare(const Step& step, const Address& from, const Prepare& prepare,
                 ErrorKind admission);
  void OnStart(const Step& step, const Address& from, const Start& start, ErrorKind admission,
               const Address& backend);
  void OnStop(const Step& step, const Address& from, const StopTask& stop);
  void OnAck(const Step& step, const TaskDoneAck& ack);
  void OnGangHeartbeat(const Step& step, const Address& from, const GangHeartbeat& heartbeat);
  void OnResult(const Step& step, const BackendResult& result);
  void Tick(const Step& step);

  /// A command of a deposed scheduler was refused; whether its task had started before.
  void RefuseStale(const Step& step, const Address& from, const TaskKey& task, bool is_start);
  /// Sends all outcomes that wait for an acknowledgement, to a scheduler that is new.
  void Redeliver(const Step& step);
  /// Drops all reservations; their starts would be refused anyway.
  void DropReservations(const Step& step);
  void StopAll(const Step& step, StopReason reason, Duration grace);

  std::vector<TaskReport> Reports(TimePoint now) const;
  AgentCounts counts() const;
  Cores used_cores() const;
  Megabytes used_memory() const;

 private:
  using Tasks = std::map<TaskKey, AgentTask>;
  using Outcome = std::variant<TaskDone, TaskStopped>;
  struct Undelivered {
    Outcome outcome;
    Prepare reservation;
    TimePoint next_send;
    Duration send_interval;
  };
  /// Whether so many outcomes are unacknowledged that no more work is taken.
  bool OutcomesFull() const;

  /// kNone when the task may start now.
  ErrorKind CheckStart(const Step& step, const AgentTask& task, const Start& start,
                       ErrorKind admission) const;
  static bool MembersComplete(const AgentTask& task, const Start& start, const WorkerId& self);
  /// Whether no rank of the gang is known to be missing.
  bool GangCanBeWhole(const Start& start) const;
  void BeginTask(const Step& step, const TaskKey& key, AgentTask& task, const Start& start,
                 const Address& backend);
  void AnswerRepeatedStart(const Step& step, const Address& from, const TaskKey& key);

  void OnStartResult(const Step& step, Tasks::iterator task, const BackendResult& result);
  void OnPollResult(const Step& step, Tasks::iterator task, const BackendResult& result);
  void OnStopResult(const Step& step, Tasks::iterator task, const BackendResult& result);
  void OnCheckpointResult(const Step& step, Tasks::iterator task, const BackendResult& result);
  void OnTaskMissing(const Step& step, Tasks::iterator task);
  void OnNoConnection(const Step& step, Tasks::iterator task);
  void Confirm(const Step& step, const TaskKey& key, AgentTask& task) const;
  void Poll(const Step& step, const TaskKey& key, AgentTask& task) const;
  void GiveUpWhenLeaseLapsed(const Step& step, Tasks::iterator task);

  void BeginStop(const Step& step, Tasks::iterator task, StopReason reason, Duration grace);
  void AdvanceStop(const Step& step, Tasks::iterator task);
  void StopAttempt(const Step& step, const AttemptId& attempt);

  /// The task is over: gives its resources back and keeps the outcome until it is acknowledged.
  void Finish(const Step& step, Tasks::iterator task, Outcome outcome);
  void FinishDone(const Step& step, Tasks::iterator task, ErrorKind error, bool started,
                  std::string output, std::string message);
  void FinishStopped(const Step& step, Tasks::iterator task, bool started);
  void LapseReservation(const Step& step, Tasks::iterator task);
  static void Send(const Step& step, const Outcome& outcome);
  void SendAgain(const Step& step, Undelivered& kept) const;

  AgentOptions options_;
  WorkerResources resources_;
  GangLeases gangs_;
  Tasks tasks_;
  std::map<TaskKey, Undelivered> undelivered_;
  DecidedTasks decided_;
};

}  // namespace basilspring::internal

#endif  // BASILSPRING_SRC_PROCESS_AGENT_TASKS_H_
