#include "process/agent_tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace basilspring::internal {
namespace {

// An agent with too many unacknowledged outcomes refuses new tasks, to stay within its memory limit
// of 128 MB.
constexpr std::size_t kMaxUndelivered = 1024;
constexpr std::size_t kMaxUndeliveredBytes = 32 * 1024 * 1024;

// Upper bound of the retry backoff. The scheduler acknowledges the outputs of a gang only when all
// its tasks are done, which can take hours. Resending half a megabyte every 2 s until then would
// exceed a node's network budget of 14 KB/s.
constexpr int kMaxSendIntervalInHeartbeats = 32;

// Limit of all outputs in one AgentReport, because the frame has to stay under a megabyte.
constexpr std::size_t kMaxReportedOutputBytes = 256 * 1024;

JobId JobOf(const AttemptId& attempt) {
  return JobId(attempt.value().substr(0, attempt.value().find('#')));
}

TaskDone DoneReply(const TaskKey& key, ErrorKind error, bool started) {
  TaskDone done;
  done.attempt = key.attempt;
  done.job = JobOf(key.attempt);
  done.rank = key.rank;
  done.error = error;
  done.started = started;
  done.message = ErrorInfo(error).description;
  return done;
}

void LogRefusal(const EventContext& context, const TaskKey& key, std::string_view command,
                ErrorKind error) {
  context.out.refusals.push_back(error);
  context.out.log.push_back(
      {EventId::kTaskRefused,
       fmt::format("task={} command={} error={}", key.ToString(), command, ErrorInfo(error).name)});
}

TaskReport ReportOf(const Prepare& reservation, TaskState state) {
  TaskReport report;
  report.attempt = reservation.attempt;
  report.job = reservation.job;
  report.rank = reservation.rank;
  report.tasks = reservation.tasks;
  report.workspace = reservation.workspace;
  report.job_class = reservation.job_class;
  report.shape = reservation.shape;
  report.accelerators = reservation.accelerators;
  report.state = state;
  report.borrowed = reservation.borrowed;
  report.idempotent = reservation.idempotent;
  return report;
}

}  // namespace

void DecidedTasks::Add(const TaskKey& task, Decision decision) {
  if (decisions_.insert_or_assign(task, decision).second) order_.push_back(task);
  if (order_.size() <= kMaxDecisions) return;
  decisions_.erase(order_.front());
  order_.pop_front();
}

const DecidedTasks::Decision* DecidedTasks::Find(const TaskKey& task) const {
  const auto entry = decisions_.find(task);
  return entry == decisions_.end() ? nullptr : &entry->second;
}

AgentTasks::AgentTasks(const AgentOptions& options)
    : options_(options), gangs_(options.worker, options.address, options.timings) {}

void AgentTasks::OnPrepare(const EventContext& context, const Address& from, const Prepare& prepare,
                           ErrorKind admission) {
  const TaskKey key{prepare.attempt, prepare.rank};
  const auto known = tasks_.find(key);
  if (known != tasks_.end() && known->second.state == TaskState::kPrepared &&
      context.now >= known->second.expires) {
    ExpireReservation(context, known);
  }
  ErrorKind error = ErrorKind::kNone;
  if (const DecidedTasks::Decision* decision = decided_.Find(key)) {
    error = decision->error;
  } else if (tasks_.count(key) == 0) {
    error = admission;
    if (error == ErrorKind::kNone && UndeliveredLimitReached()) error = ErrorKind::kOverloaded;
    if (error == ErrorKind::kNone && prepare.rank >= std::max(prepare.tasks, 1U)) {
      error = ErrorKind::kInvalidArgument;
    }
    if (error == ErrorKind::kNone) error = resources_.Check(prepare.shape, prepare.accelerators);
    if (error == ErrorKind::kNone) {
      resources_.Allocate(prepare.shape, prepare.accelerators);
      AgentTask& task = tasks_[key];
      task.reservation = prepare;
      const Duration max_duration = options_.timings.reservation_timeout;
      task.expires = context.now + (prepare.reserve_for > Duration(0)
                                        ? std::min(prepare.reserve_for, max_duration)
                                        : max_duration);
      context.out.log.push_back({EventId::kTaskPrepared, fmt::format("task={}", key.ToString())});
    } else {
      decided_.Add(key, {error, false});
    }
  }
  if (error != ErrorKind::kNone) LogRefusal(context, key, "Prepare", error);
  context.out.messages.push_back(
      {from, Prepared{key.attempt, key.rank, error, context.now, options_.incarnation}, false});
}

void AgentTasks::OnStart(const EventContext& context, const Address& from, const Start& start,
                         ErrorKind admission, const Address& backend) {
  const TaskKey key{start.attempt, start.rank};
  const auto task = tasks_.find(key);
  if (task == tasks_.end() || task->second.state != TaskState::kPrepared) {
    AnswerRepeatedStart(context, from, key);
    return;
  }
  const ErrorKind error = CheckStart(context, task->second, start, admission);
  if (error == ErrorKind::kNone) {
    BeginTask(context, key, task->second, start, backend);
    return;
  }
  LogRefusal(context, key, "Start", error);
  FinishDone(context, task, error, false, "", std::string(ErrorInfo(error).description));
}

ErrorKind AgentTasks::CheckStart(const EventContext& context, const AgentTask& task,
                                 const Start& start, ErrorKind admission) const {
  if (start.reservation != options_.incarnation) return ErrorKind::kReservationMissing;
  if (context.now >= task.expires) return ErrorKind::kReservationMissing;
  if (context.now > start.not_after) return ErrorKind::kPermitExpired;
  if (admission != ErrorKind::kNone) return admission;
  if (task.reservation.tasks <= 1) return ErrorKind::kNone;
  if (!HasCompleteMemberList(task, start, options_.worker)) return ErrorKind::kInvalidArgument;
  return CanGangBeComplete(start) ? ErrorKind::kNone : ErrorKind::kReservationMissing;
}

// Without the complete member list, the gang lease could not detect a lost member.
bool AgentTasks::HasCompleteMemberList(const AgentTask& task, const Start& start,
                                       const WorkerId& self) {
  std::set<std::uint32_t> ranks;
  bool own_rank = false;
  for (const GangMember& member : start.members) {
    if (member.rank >= task.reservation.tasks || !ranks.insert(member.rank).second) return false;
    own_rank = own_rank || (member.worker == self && member.rank == start.rank);
  }
  return own_rank && ranks.size() == task.reservation.tasks;
}

bool AgentTasks::CanGangBeComplete(const Start& start) const {
  if (gangs_.IsTracked(start.attempt)) return !gangs_.IsBroken(start.attempt);
  // When the first rank starts here, the other ranks of this worker must still be reserved.
  return std::all_of(start.members.begin(), start.members.end(), [&](const GangMember& member) {
    return member.worker != options_.worker ||
           tasks_.count(TaskKey{start.attempt, member.rank}) != 0;
  });
}

void AgentTasks::BeginTask(const EventContext& context, const TaskKey& key, AgentTask& task,
                           const Start& start, const Address& backend) {
  task.state = TaskState::kRunning;
  task.backend = backend;
  task.not_after = start.not_after;
  task.start_time = context.now;
  task.last_renewal = context.now;
  task.start_pending = true;
  decided_.Add(key, {ErrorKind::kConflict, true});
  gangs_.OnRankStarted(context.now, key, start.members);
  const Duration poll = options_.timings.backend_poll_wait;
  BackendCall call;
  call.kind = BackendCallKind::kStart;
  call.backend = backend;
  call.task = key;
  // The start call itself returns the result of a short task. A longer wait would only delay
  // TaskStarted.
  call.wait = poll / 20;
  call.lease = options_.timings.task_lease;
  call.timeout = poll + poll / 2;
  call.not_after = start.not_after;
  call.tasks = task.reservation.tasks;
  call.accelerators = task.reservation.accelerators;
  call.payload = start.payload;
  context.out.calls.push_back(std::move(call));
}

void AgentTasks::AnswerRepeatedStart(const EventContext& context, const Address& from,
                                     const TaskKey& key) {
  const auto task = tasks_.find(key);
  if (task != tasks_.end()) {
    if (task->second.confirmed) {
      context.out.messages.push_back({from, TaskStarted{key.attempt, key.rank}, false});
    }
    return;
  }
  const auto ended = undelivered_.find(key);
  if (ended != undelivered_.end()) {
    Send(context, ended->second.outcome);
    return;
  }
  LogRefusal(context, key, "Start", ErrorKind::kReservationMissing);
  const DecidedTasks::Decision* decision = decided_.Find(key);
  if (decision == nullptr) {
    // An earlier incarnation of this agent may have started the task, so the answer must not say
    // that it never started.
    decided_.Add(key, {ErrorKind::kReservationMissing, true});
  } else if (decision->started) {
    return;  // The outcome has been acknowledged.
  }
  const bool may_have_started = decision == nullptr;
  context.out.messages.push_back(
      {from, DoneReply(key, ErrorKind::kReservationMissing, may_have_started), false});
}

void AgentTasks::OnStop(const EventContext& context, const Address& from, const StopTask& stop) {
  const TaskKey key{stop.attempt, stop.rank};
  const auto task = tasks_.find(key);
  if (task != tasks_.end()) {
    BeginStop(context, task, stop.reason, stop.grace);
    return;
  }
  const auto ended = undelivered_.find(key);
  if (ended != undelivered_.end()) {
    Send(context, ended->second.outcome);
    return;
  }
  TaskStopped stopped;
  stopped.attempt = key.attempt;
  stopped.job = JobOf(key.attempt);
  stopped.rank = key.rank;
  // An earlier incarnation of this agent may have started an unknown task.
  const DecidedTasks::Decision* decision = decided_.Find(key);
  stopped.started = decision == nullptr || decision->started;
  if (decision == nullptr) decided_.Add(key, {ErrorKind::kReservationMissing, true});
  context.out.messages.push_back({from, std::move(stopped), false});
}

void AgentTasks::OnAck(const EventContext& context, const TaskDoneAck& ack) {
  static_cast<void>(context);
  undelivered_.erase(TaskKey{ack.attempt, ack.rank});
}

void AgentTasks::OnGangHeartbeat(const EventContext& context, const Address& from,
                                 const GangHeartbeat& heartbeat) {
  const auto first = tasks_.lower_bound(TaskKey{heartbeat.attempt, 0});
  const bool reserved = first != tasks_.end() && first->first.attempt == heartbeat.attempt;
  gangs_.OnHeartbeat(context.now, from, heartbeat, reserved, context.out);
}

void AgentTasks::RefuseStaleCommand(const EventContext& context, const Address& from,
                                    const TaskKey& task, bool is_start) {
  LogRefusal(context, task, is_start ? "Start" : "command", ErrorKind::kStaleEpoch);
  const auto reserved = tasks_.find(task);
  if (is_start && reserved != tasks_.end() && reserved->second.state == TaskState::kPrepared) {
    // The answer says that the task never starts, so its reservation ends here.
    ExpireReservation(context, reserved);
  }
  const DecidedTasks::Decision* decision = decided_.Find(task);
  if (is_start && decision != nullptr && !decision->started) {
    context.out.messages.push_back({from, DoneReply(task, ErrorKind::kStaleEpoch, false), false});
    return;
  }
  // This answer says only that the command was refused. A TaskDone or TaskStopped would tell the
  // superseded scheduler that the task has ended, although it may be running.
  context.out.messages.push_back(
      {from,
       Prepared{task.attempt, task.rank, ErrorKind::kStaleEpoch, context.now, options_.incarnation},
       false});
}

void AgentTasks::ExpireReservation(const EventContext& context, Tasks::iterator task) {
  const TaskKey key = task->first;
  resources_.Release(task->second.reservation.shape, task->second.reservation.accelerators);
  tasks_.erase(task);
  decided_.Add(key, {ErrorKind::kReservationMissing, false});
  gangs_.OnRankEnded(context.now, key, false);
  context.out.log.push_back({EventId::kReservationExpired, fmt::format("task={}", key.ToString())});
}

void AgentTasks::Finish(const EventContext& context, Tasks::iterator task, Outcome outcome) {
  const TaskKey key = task->first;
  resources_.Release(task->second.reservation.shape, task->second.reservation.accelerators);
  UndeliveredOutcome& undelivered = undelivered_[key];
  undelivered.outcome = std::move(outcome);
  undelivered.reservation = std::move(task->second.reservation);
  undelivered.send_interval = options_.timings.heartbeat_interval;
  tasks_.erase(task);
  SendAndScheduleRetry(context, undelivered);
}

void AgentTasks::Send(const EventContext& context, const Outcome& outcome) {
  if (context.scheduler.empty()) return;
  std::visit(
      [&context](const auto& message) {
        context.out.messages.push_back({context.scheduler, message, false});
      },
      outcome);
}

void AgentTasks::SendAndScheduleRetry(const EventContext& context,
                                      UndeliveredOutcome& undelivered) const {
  Send(context, undelivered.outcome);
  undelivered.next_send = context.now + undelivered.send_interval;
  undelivered.send_interval =
      std::min(undelivered.send_interval * 2,
               options_.timings.heartbeat_interval * kMaxSendIntervalInHeartbeats);
}

void AgentTasks::Redeliver(const EventContext& context) {
  for (auto& [key, undelivered] : undelivered_) {
    undelivered.send_interval = options_.timings.heartbeat_interval;
    SendAndScheduleRetry(context, undelivered);
  }
}

bool AgentTasks::UndeliveredLimitReached() const {
  std::size_t bytes = 0;
  for (const auto& [key, undelivered] : undelivered_) {
    if (const TaskDone* done = std::get_if<TaskDone>(&undelivered.outcome)) {
      bytes += done->output.size();
    }
  }
  return undelivered_.size() >= kMaxUndelivered || bytes >= kMaxUndeliveredBytes;
}

std::vector<TaskReport> AgentTasks::Reports(TimePoint now) const {
  std::vector<TaskReport> reports;
  for (const auto& [key, task] : tasks_) {
    TaskReport& report = reports.emplace_back(ReportOf(task.reservation, task.state));
    if (task.state != TaskState::kPrepared) report.running_for = now - task.start_time;
  }
  std::size_t output_bytes = 0;
  for (const auto& [key, undelivered] : undelivered_) {
    const TaskDone* done = std::get_if<TaskDone>(&undelivered.outcome);
    const bool started =
        done != nullptr ? done->started : std::get<TaskStopped>(undelivered.outcome).started;
    // The outcome is also sent as a separate message. The report omits a task that never started,
    // and reports a task whose output doesn't fit as still running.
    if (!started) continue;
    if (done == nullptr) {
      reports.push_back(ReportOf(undelivered.reservation, TaskState::kStopping));
      continue;
    }
    const bool fits = output_bytes + done->output.size() <= kMaxReportedOutputBytes;
    TaskReport& report = reports.emplace_back(
        ReportOf(undelivered.reservation, fits ? TaskState::kFinished : TaskState::kRunning));
    report.running_for = done->ran_for;
    if (!fits) continue;
    output_bytes += done->output.size();
    report.error = done->error;
    report.output = done->output;
  }
  return reports;
}

AgentCounts AgentTasks::counts() const {
  AgentCounts counts;
  for (const auto& [key, task] : tasks_) {
    counts.prepared += task.state == TaskState::kPrepared ? 1 : 0;
    counts.running += task.state == TaskState::kRunning ? 1 : 0;
    counts.stopping += task.state == TaskState::kStopping ? 1 : 0;
  }
  counts.undelivered = undelivered_.size();
  return counts;
}

Cores AgentTasks::used_cores() const {
  Cores used;
  for (const auto& [key, task] : tasks_) {
    if (task.state != TaskState::kPrepared) used = used + task.reservation.shape.cores;
  }
  return used;
}

Megabytes AgentTasks::used_memory() const {
  Megabytes used;
  for (const auto& [key, task] : tasks_) {
    if (task.state != TaskState::kPrepared) used = used + task.reservation.shape.memory;
  }
  return used;
}

}  // namespace basilspring::internal
