#include "process/agent_tasks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace basilspring::internal {
namespace {

// An agent whose outcomes nobody acknowledges takes no more work, so that it stays within its
// 128 MB.
constexpr std::size_t kMaxUndelivered = 1024;
constexpr std::size_t kMaxUndeliveredBytes = 32 * 1024 * 1024;

// The scheduler acknowledges the outputs of a gang only when the whole gang is done, which can take
// hours. Repeating half a megabyte every 2 s until then would exceed the 14 KB/s of a node.
constexpr int kMaxSendIntervalInHeartbeats = 32;

// Outputs in one AgentReport; the whole frame has to stay under a megabyte.
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

void LogRefusal(const Step& step, const TaskKey& key, std::string_view command, ErrorKind error) {
  step.out.refusals.push_back(error);
  step.out.log.push_back(
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

void AgentTasks::OnPrepare(const Step& step, const Address& from, const Prepare& prepare,
                           ErrorKind admission) {
  const TaskKey key{prepare.attempt, prepare.rank};
  const auto known = tasks_.find(key);
  if (known != tasks_.end() && known->second.state == TaskState::kPrepared &&
      step.now >= known->second.expires) {
    LapseReservation(step, known);
  }
  ErrorKind error = ErrorKind::kNone;
  if (const DecidedTasks::Decision* decision = decided_.Find(key)) {
    error = decision->error;
  } else if (tasks_.count(key) == 0) {
    error = admission;
    if (error == ErrorKind::kNone && OutcomesFull()) error = ErrorKind::kOverloaded;
    if (error == ErrorKind::kNone && prepare.rank >= std::max(prepare.tasks, 1U)) {
      error = ErrorKind::kInvalidArgument;
    }
    if (error == ErrorKind::kNone) error = resources_.Check(prepare.shape, prepare.accelerators);
    if (error == ErrorKind::kNone) {
      resources_.Take(prepare.shape, prepare.accelerators);
      AgentTask& task = tasks_[key];
      task.reservation = prepare;
      const Duration longest = options_.timings.reservation;
      task.expires =
          step.now +
          (prepare.reserve_for > Duration(0) ? std::min(prepare.reserve_for, longest) : longest);
      step.out.log.push_back({EventId::kTaskPrepared, fmt::format("task={}", key.ToString())});
    } else {
      decided_.Add(key, {error, false});
    }
  }
  if (error != ErrorKind::kNone) LogRefusal(step, key, "Prepare", error);
  step.out.messages.push_back({from, Prepared{key.attempt, key.rank, error, step.now}, false});
}

void AgentTasks::OnStart(const Step& step, const Address& from, const Start& start,
                         ErrorKind admission, const Address& backend) {
  const TaskKey key{start.attempt, start.rank};
  const auto task = tasks_.find(key);
  if (task == tasks_.end() || task->second.state != TaskState::kPrepared) {
    AnswerRepeatedStart(step, from, key);
    return;
  }
  const ErrorKind error = CheckStart(step, task->second, start, admission);
  if (error == ErrorKind::kNone) {
    BeginTask(step, key, task->second, start, backend);
    return;
  }
  LogRefusal(step, key, "Start", error);
  FinishDone(step, task, error, false, "", std::string(ErrorInfo(error).description));
}

ErrorKind AgentTasks::CheckStart(const Step& step, const AgentTask& task, const Start& start,
                                 ErrorKind admission) const {
  if (step.now >= task.expires) return ErrorKind::kReservationMissing;
  if (step.now > start.not_after) return ErrorKind::kPermitExpired;
  if (admission != ErrorKind::kNone) return admission;
  if (task.reservation.tasks <= 1) return ErrorKind::kNone;
  if (!MembersComplete(task, start, options_.worker)) return ErrorKind::kInvalidArgument;
  return GangCanBeWhole(start) ? ErrorKind::kNone : ErrorKind::kReservationMissing;
}

// Without the whole member list the gang lease could not detect a partial gang.
bool AgentTasks::MembersComplete(const AgentTask& task, const Start& start, const WorkerId& self) {
  std::set<std::uint32_t> ranks;
  bool own_rank = false;
  for (const GangMember& member : start.members) {
    if (member.rank >= task.reservation.tasks || !ranks.insert(member.rank).second) return false;
    own_rank = own_rank || (member.worker == self && member.rank == start.rank);
  }
  return own_rank && ranks.size() == task.reservation.tasks;
}

bool AgentTasks::GangCanBeWhole(const Start& start) const {
  if (gangs_.Knows(start.attempt)) return !gangs_.Broken(start.attempt);
  // The first rank to start here needs all ranks of this worker still reserved.
  return std::all_of(start.members.begin(), start.members.end(), [&](const GangMember& member) {
    return member.worker != options_.worker ||
           tasks_.count(TaskKey{start.attempt, member.rank}) != 0;
  });
}

void AgentTasks::BeginTask(const Step& step, const TaskKey& key, AgentTask& task,
                           const Start& start, const Address& backend) {
  task.state = TaskState::kRunning;
  task.backend = backend;
  task.not_after = start.not_after;
  task.started = step.now;
  task.renewed = step.now;
  task.start_pending = true;
  decided_.Add(key, {ErrorKind::kConflict, true});
  gangs_.Begin(step.now, key, start.members);
  const Duration poll = options_.timings.backend_poll;
  BackendCall call;
  call.kind = BackendCallKind::kStart;
  call.backend = backend;
  call.task = key;
  // Short work is answered by the start call itself; a longer wait would only delay TaskStarted.
  call.wait = poll / 20;
  call.lease = options_.timings.task_lease;
  call.timeout = poll + poll / 2;
  call.not_after = start.not_after;
  call.tasks = task.reservation.tasks;
  call.accelerators = task.reservation.accelerators;
  call.payload = start.payload;
  step.out.calls.push_back(std::move(call));
}

void AgentTasks::AnswerRepeatedStart(const Step& step, const Address& from, const TaskKey& key) {
  const auto task = tasks_.find(key);
  if (task != tasks_.end()) {
    if (task->second.confirmed) {
      step.out.messages.push_back({from, TaskStarted{key.attempt, key.rank}, false});
    }
    return;
  }
  const auto ended = undelivered_.find(key);
  if (ended != undelivered_.end()) {
    Send(step, ended->second.outcome);
    return;
  }
  LogRefusal(step, key, "Start", ErrorKind::kReservationMissing);
  const DecidedTasks::Decision* decision = decided_.Find(key);
  if (decision == nullptr) {
    // An earlier run of this process may have started it, so "never started" can't be claimed.
    decided_.Add(key, {ErrorKind::kReservationMissing, true});
  } else if (decision->started) {
    return;  // Its outcome has been acknowledged.
  }
  const bool may_have_started = decision == nullptr;
  step.out.messages.push_back(
      {from, DoneReply(key, ErrorKind::kReservationMissing, may_have_started), false});
}

void AgentTasks::OnStop(const Step& step, const Address& from, const StopTask& stop) {
  const TaskKey key{stop.attempt, stop.rank};
  const auto task = tasks_.find(key);
  if (task != tasks_.end()) {
    BeginStop(step, task, stop.reason, stop.grace);
    return;
  }
  const auto ended = undelivered_.find(key);
  if (ended != undelivered_.end()) {
    Send(step, ended->second.outcome);
    return;
  }
  TaskStopped stopped;
  stopped.attempt = key.attempt;
  stopped.job = JobOf(key.attempt);
  stopped.rank = key.rank;
  // Unknown tasks may have been started by an earlier run of this process.
  const DecidedTasks::Decision* decision = decided_.Find(key);
  stopped.started = decision == nullptr || decision->started;
  if (decision == nullptr) decided_.Add(key, {ErrorKind::kReservationMissing, true});
  step.out.messages.push_back({from, std::move(stopped), false});
}

void AgentTasks::OnAck(const Step& step, const TaskDoneAck& ack) {
  static_cast<void>(step);
  undelivered_.erase(TaskKey{ack.attempt, ack.rank});
}

void AgentTasks::OnGangHeartbeat(const Step& step, const Address& from,
                                 const GangHeartbeat& heartbeat) {
  const auto first = tasks_.lower_bound(TaskKey{heartbeat.attempt, 0});
  const bool reserved = first != tasks_.end() && first->first.attempt == heartbeat.attempt;
  gangs_.OnHeartbeat(step.now, from, heartbeat, reserved, step.out);
}

void AgentTasks::RefuseStale(const Step& step, const Address& from, const TaskKey& task,
                             bool is_start) {
  LogRefusal(step, task, is_start ? "Start" : "command", ErrorKind::kStaleEpoch);
  const auto reserved = tasks_.find(task);
  if (is_start && reserved != tasks_.end() && reserved->second.state == TaskState::kPrepared) {
    // The answer says that the task never starts, so its reservation goes.
    LapseReservation(step, reserved);
  }
  const DecidedTasks::Decision* decision = decided_.Find(task);
  if (is_start && decision != nullptr && !decision->started) {
    step.out.messages.push_back({from, DoneReply(task, ErrorKind::kStaleEpoch, false), false});
    return;
  }
  // Says only that the command was refused: a deposed scheduler must not learn of an end that has
  // not taken place.
  step.out.messages.push_back(
      {from, Prepared{task.attempt, task.rank, ErrorKind::kStaleEpoch, step.now}, false});
}

void AgentTasks::LapseReservation(const Step& step, Tasks::iterator task) {
  const TaskKey key = task->first;
  resources_.Give(task->second.reservation.shape, task->second.reservation.accelerators);
  tasks_.erase(task);
  decided_.Add(key, {ErrorKind::kReservationMissing, false});
  gangs_.End(step.now, key, false);
  step.out.log.push_back({EventId::kReservationExpired, fmt::format("task={}", key.ToString())});
}

void AgentTasks::Finish(const Step& step, Tasks::iterator task, Outcome outcome) {
  const TaskKey key = task->first;
  resources_.Give(task->second.reservation.shape, task->second.reservation.accelerators);
  Undelivered& kept = undelivered_[key];
  kept.outcome = std::move(outcome);
  kept.reservation = std::move(task->second.reservation);
  kept.send_interval = options_.timings.heartbeat;
  tasks_.erase(task);
  SendAgain(step, kept);
}

void AgentTasks::Send(const Step& step, const Outcome& outcome) {
  if (step.scheduler.empty()) return;
  std::visit(
      [&step](const auto& message) {
        step.out.messages.push_back({step.scheduler, message, false});
      },
      outcome);
}

void AgentTasks::SendAgain(const Step& step, Undelivered& kept) const {
  Send(step, kept.outcome);
  kept.next_send = step.now + kept.send_interval;
  kept.send_interval =
      std::min(kept.send_interval * 2, options_.timings.heartbeat * kMaxSendIntervalInHeartbeats);
}

void AgentTasks::Redeliver(const Step& step) {
  for (auto& [key, kept] : undelivered_) {
    kept.send_interval = options_.timings.heartbeat;
    SendAgain(step, kept);
  }
}

bool AgentTasks::OutcomesFull() const {
  std::size_t bytes = 0;
  for (const auto& [key, kept] : undelivered_) {
    if (const TaskDone* done = std::get_if<TaskDone>(&kept.outcome)) bytes += done->output.size();
  }
  return undelivered_.size() >= kMaxUndelivered || bytes >= kMaxUndeliveredBytes;
}

std::vector<TaskReport> AgentTasks::Reports(TimePoint now) const {
  std::vector<TaskReport> reports;
  for (const auto& [key, task] : tasks_) {
    TaskReport& report = reports.emplace_back(ReportOf(task.reservation, task.state));
    if (task.state != TaskState::kPrepared) report.running_for = now - task.started;
  }
  std::size_t output_bytes = 0;
  for (const auto& [key, kept] : undelivered_) {
    const TaskDone* done = std::get_if<TaskDone>(&kept.outcome);
    const bool started =
        done != nullptr ? done->started : std::get<TaskStopped>(kept.outcome).started;
    // The outcome follows as a message of its own. Until then a task that never started is left
    // out, and one whose output doesn't fit into the report still counts as running.
    if (!started) continue;
    if (done == nullptr) {
      reports.push_back(ReportOf(kept.reservation, TaskState::kStopping));
      continue;
    }
    const bool fits = output_bytes + done->output.size() <= kMaxReportedOutputBytes;
    TaskReport& report = reports.emplace_back(
        ReportOf(kept.reservation, fits ? TaskState::kFinished : TaskState::kRunning));
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
