#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/agent_tasks.h"

/// The calls of AgentTasks to the backend server (start, poll, checkpoint and stop) and the end of
/// tasks.
namespace basilspring::internal {
namespace {

// A backend server that refuses this many connections in a row counts as dead. A single refusal can
// come from a full accept queue.
constexpr int kMaxUnreachableCalls = 3;

// Longer reasons are truncated, because they are sent in TaskDone and logged.
constexpr std::size_t kMaxReasonBytes = 1024;

// Delay before a call is retried; 250 ms with the default timings.
Duration RetryDelay(const Timings& timings) { return timings.backend_poll_wait / 8; }

// A poll that is answered or given up after this multiple of its waiting time was delayed by a
// pause of this process.
constexpr std::int64_t kPausedPollFactor = 3;

}  // namespace

void AgentTasks::OnResult(const EventContext& context, const BackendResult& result) {
  const auto task = tasks_.find(result.task);
  // An answer that arrives after the task has ended is ignored.
  if (task == tasks_.end()) return;
  switch (result.call) {
    case BackendCallKind::kStart:
      OnStartResult(context, task, result);
      break;
    case BackendCallKind::kPoll:
      OnPollResult(context, task, result);
      break;
    case BackendCallKind::kCheckpoint:
      OnCheckpointResult(context, task, result);
      break;
    case BackendCallKind::kThrottle:
      break;
    case BackendCallKind::kStop:
      OnStopResult(context, task, result);
      break;
  }
}

void AgentTasks::OnStartResult(const EventContext& context, Tasks::iterator task,
                               const BackendResult& result) {
  AgentTask& record = task->second;
  record.start_pending = false;
  switch (result.status) {
    case BackendStatus::kTooLate:
    case BackendStatus::kRefused:
    case BackendStatus::kUnreachable:
      if (record.stop) {
        FinishStopped(context, task, false);
      } else {
        const bool expired = result.status == BackendStatus::kTooLate;
        FinishDone(context, task,
                   expired ? ErrorKind::kPermitExpired : ErrorKind::kBackendUnavailable, false, "",
                   result.text);
      }
      return;
    case BackendStatus::kUnknownTask:
    case BackendStatus::kNoAnswer:
      // The start may have taken effect. A second start could run the task twice if the backend
      // server was restarted in between, so a poll determines whether the task runs.
      record.fresh_connection = true;
      break;
    case BackendStatus::kRunning:
    case BackendStatus::kDone:
    case BackendStatus::kFailed:
      ConfirmStarted(context, task->first, record);
      if (result.status == BackendStatus::kRunning) break;
      if (result.status == BackendStatus::kDone) {
        FinishDone(context, task, ErrorKind::kNone, true, result.text, "");
      } else {
        FinishDone(context, task, ErrorKind::kTaskFailed, true, "", result.text);
      }
      return;
  }
  if (record.stop) {
    AdvanceStop(context, task);
  } else {
    SendPoll(context, task->first, record);
  }
}

void AgentTasks::OnPollResult(const EventContext& context, Tasks::iterator task,
                              const BackendResult& result) {
  AgentTask& record = task->second;
  record.poll_pending = false;
  if (result.status == BackendStatus::kDone) {
    // A complete output is delivered even if a stop is in progress.
    ConfirmStarted(context, task->first, record);
    FinishDone(context, task, ErrorKind::kNone, true, result.text, "");
    return;
  }
  // After a stop call, no other poll result counts: the answer to the stop decides.
  if (record.stop && record.stop->stop_sent) return;
  switch (result.status) {
    case BackendStatus::kDone:
      break;
    case BackendStatus::kRunning:
      ConfirmStarted(context, task->first, record);
      SendPoll(context, task->first, record);
      break;
    case BackendStatus::kFailed:
      ConfirmStarted(context, task->first, record);
      FinishDone(context, task, ErrorKind::kTaskFailed, true, "", result.text);
      break;
    case BackendStatus::kTooLate:
    case BackendStatus::kRefused:
      FinishDone(context, task, ErrorKind::kBackendUnavailable, true, "", result.text);
      break;
    case BackendStatus::kUnknownTask:
      OnTaskUnknown(context, task);
      break;
    case BackendStatus::kUnreachable:
      OnBackendUnreachable(context, task);
      break;
    case BackendStatus::kNoAnswer:
      record.fresh_connection = true;
      FinishIfLeaseExpired(context, task);
      break;
  }
}

void AgentTasks::OnTaskUnknown(const EventContext& context, Tasks::iterator task) {
  AgentTask& record = task->second;
  if (!record.confirmed && context.now <= record.not_after) {
    // The start call can still arrive at the backend server, which refuses it after `not_after`.
    record.next_poll = context.now + RetryDelay(options_.timings);
    return;
  }
  // Counts as started even if that was never confirmed, because the backend server may have been
  // restarted.
  FinishDone(context, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server doesn't know the task");
}

void AgentTasks::OnBackendUnreachable(const EventContext& context, Tasks::iterator task) {
  AgentTask& record = task->second;
  record.fresh_connection = true;
  if (++record.unreachable_count < kMaxUnreachableCalls) {
    record.next_poll = context.now + RetryDelay(options_.timings);
    return;
  }
  FinishDone(context, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server accepts no connections");
}

void AgentTasks::FinishIfLeaseExpired(const EventContext& context, Tasks::iterator task) {
  AgentTask& record = task->second;
  const Timings& timings = options_.timings;
  if (context.now - record.last_renewal < timings.task_lease + timings.backend_poll_wait * 2) {
    // A poll that timed out has already waited, so the next one is sent at once. A connection that
    // broke early is retried after a delay.
    if (context.now - record.poll_sent >= timings.backend_poll_wait) {
      SendPoll(context, task->first, record);
    } else {
      record.next_poll = context.now + RetryDelay(timings);
    }
    return;
  }
  // A poll that failed long after its timeout shows that this process was paused, not that the
  // backend server has been silent: it may have finished the task meanwhile, so it is asked again.
  if (context.now - record.poll_sent > timings.backend_poll_wait * kPausedPollFactor) {
    SendPoll(context, task->first, record);
    return;
  }
  // An unanswered poll may have renewed the lease, so a stop call is made as well.
  BackendCall call;
  call.kind = BackendCallKind::kStop;
  call.backend = record.backend;
  call.task = task->first;
  call.timeout = timings.backend_poll_wait;
  call.fresh_connection = true;
  context.out.calls.push_back(std::move(call));
  FinishDone(context, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server has not answered for the length of the task lease");
}

void AgentTasks::ConfirmStarted(const EventContext& context, const TaskKey& key,
                                AgentTask& task) const {
  task.last_renewal = context.now;
  task.unreachable_count = 0;
  task.fresh_connection = false;
  if (task.confirmed) return;
  task.confirmed = true;
  context.out.log.push_back({EventId::kTaskStarted, fmt::format("task={}", key.ToString())});
  if (!context.scheduler.empty()) {
    context.out.messages.push_back({context.scheduler, TaskStarted{key.attempt, key.rank}, false});
  }
}

void AgentTasks::SendPoll(const EventContext& context, const TaskKey& key, AgentTask& task) const {
  const Duration poll = options_.timings.backend_poll_wait;
  task.poll_pending = true;
  task.poll_sent = context.now;
  BackendCall call;
  call.kind = BackendCallKind::kPoll;
  call.backend = task.backend;
  call.task = key;
  call.wait = poll;
  call.lease = options_.timings.task_lease;
  call.timeout = poll + poll / 2;
  call.fresh_connection = task.fresh_connection;
  context.out.calls.push_back(std::move(call));
}

void AgentTasks::BeginStop(const EventContext& context, Tasks::iterator task, StopReason reason,
                           Duration grace) {
  AgentTask& record = task->second;
  if (record.state == TaskState::kPrepared) {
    FinishStopped(context, task, false);
    return;
  }
  if (record.stop) {
    // A repeated stop can only shorten the grace period.
    record.stop->checkpoint_deadline =
        std::min(record.stop->checkpoint_deadline, context.now + grace);
  } else {
    const Timings& timings = options_.timings;
    StopProgress& stop = record.stop.emplace();
    stop.reason = reason;
    stop.checkpoint_deadline = context.now + grace;
    stop.next_stop = context.now;
    stop.stop_deadline =
        stop.checkpoint_deadline + timings.task_lease + timings.backend_poll_wait * 2;
    record.state = TaskState::kStopping;
  }
  AdvanceStop(context, task);
}

void AgentTasks::AdvanceStop(const EventContext& context, Tasks::iterator task) {
  AgentTask& record = task->second;
  StopProgress& stop = *record.stop;
  // A stop call that overtakes the start call would leave the task running.
  if (record.start_pending || stop.stop_pending) return;
  BackendCall call;
  call.backend = record.backend;
  call.task = task->first;
  call.fresh_connection = record.fresh_connection;
  const bool wait_for_checkpoint =
      !stop.stop_sent && !stop.checkpoint_answered && context.now < stop.checkpoint_deadline;
  if (wait_for_checkpoint) {
    if (stop.checkpoint_sent) return;
    stop.checkpoint_sent = true;
    call.kind = BackendCallKind::kCheckpoint;
    call.timeout = stop.checkpoint_deadline - context.now;
  } else {
    if (context.now < stop.next_stop) return;
    stop.stop_sent = true;
    stop.stop_pending = true;
    call.kind = BackendCallKind::kStop;
    call.timeout = options_.timings.backend_poll_wait;
  }
  context.out.calls.push_back(std::move(call));
}

void AgentTasks::OnCheckpointResult(const EventContext& context, Tasks::iterator task,
                                    const BackendResult& result) {
  AgentTask& record = task->second;
  if (!record.stop) return;
  record.stop->checkpoint_answered = true;
  if (result.status == BackendStatus::kDone) record.stop->checkpointed = true;
  if (result.status == BackendStatus::kNoAnswer) record.fresh_connection = true;
  AdvanceStop(context, task);
}

void AgentTasks::OnStopResult(const EventContext& context, Tasks::iterator task,
                              const BackendResult& result) {
  AgentTask& record = task->second;
  if (!record.stop) return;
  StopProgress& stop = *record.stop;
  stop.stop_pending = false;
  const bool start_may_follow = !record.confirmed && context.now <= record.not_after;
  const bool task_gone = result.status == BackendStatus::kUnknownTask && !start_may_follow;
  const bool backend_dead = result.status == BackendStatus::kUnreachable &&
                            ++record.unreachable_count >= kMaxUnreachableCalls;
  if (result.status == BackendStatus::kDone || task_gone || backend_dead) {
    FinishStopped(context, task, true);
    return;
  }
  record.fresh_connection = true;
  stop.next_stop = context.now + RetryDelay(options_.timings);
}

void AgentTasks::FinishDone(const EventContext& context, Tasks::iterator task, ErrorKind error,
                            bool started, std::string output, std::string message) {
  const TaskKey key = task->first;
  const AgentTask& record = task->second;
  TaskDone done;
  done.attempt = key.attempt;
  done.job = record.reservation.job;
  done.rank = key.rank;
  done.error = error;
  done.started = started;
  done.output = std::move(output);
  done.message = std::move(message);
  if (done.message.size() > kMaxReasonBytes) done.message.resize(kMaxReasonBytes);
  if (started) done.ran_for = context.now - record.start_time;
  context.out.log.push_back(
      {EventId::kTaskFinished,
       fmt::format("task={} error={} started={} ran_ms={} reason=\"{}\"", key.ToString(),
                   ErrorInfo(error).name, started, done.ran_for.milliseconds(), done.message)});
  decided_.Add(key, {started ? ErrorKind::kConflict : error, started});
  gangs_.OnRankEnded(context.now, key, error == ErrorKind::kNone);
  Finish(context, task, std::move(done));
}

void AgentTasks::FinishStopped(const EventContext& context, Tasks::iterator task, bool started) {
  const TaskKey key = task->first;
  const AgentTask& record = task->second;
  TaskStopped stopped;
  stopped.attempt = key.attempt;
  stopped.job = record.reservation.job;
  stopped.rank = key.rank;
  stopped.started = started;
  stopped.checkpointed = record.stop && record.stop->checkpointed;
  if (started) stopped.ran_for = context.now - record.start_time;
  context.out.log.push_back(
      {EventId::kTaskStopped,
       fmt::format("task={} reason=\"{}\" started={} checkpointed={} ran_ms={}", key.ToString(),
                   record.stop ? StopReasonName(record.stop->reason) : "reservation dropped",
                   started, stopped.checkpointed, stopped.ran_for.milliseconds())});
  decided_.Add(key, {started ? ErrorKind::kConflict : ErrorKind::kReservationMissing, started});
  gangs_.OnRankEnded(context.now, key, false);
  Finish(context, task, std::move(stopped));
}

void AgentTasks::Tick(const EventContext& context) {
  std::vector<TaskKey> keys;
  keys.reserve(tasks_.size());
  for (const auto& [key, task] : tasks_) keys.push_back(key);
  for (const TaskKey& key : keys) {
    const auto task = tasks_.find(key);
    AgentTask& record = task->second;
    if (record.state == TaskState::kPrepared) {
      if (context.now >= record.expires) ExpireReservation(context, task);
      continue;
    }
    const bool stop_sent = record.stop && record.stop->stop_sent;
    if (!record.start_pending && !record.poll_pending && !stop_sent &&
        context.now >= record.next_poll) {
      SendPoll(context, key, record);
    }
    if (!record.stop) continue;
    if (context.now >= record.stop->stop_deadline) {
      FinishStopped(context, task, true);
    } else {
      AdvanceStop(context, task);
    }
  }
  for (const AttemptId& attempt : gangs_.Tick(context.now, context.out)) {
    StopAttempt(context, attempt);
  }
  for (auto& [key, undelivered] : undelivered_) {
    if (context.now >= undelivered.next_send) SendAndScheduleRetry(context, undelivered);
  }
}

void AgentTasks::StopAttempt(const EventContext& context, const AttemptId& attempt) {
  std::vector<TaskKey> keys;
  for (auto task = tasks_.lower_bound(TaskKey{attempt, 0});
       task != tasks_.end() && task->first.attempt == attempt; ++task) {
    keys.push_back(task->first);
  }
  if (keys.empty()) return;
  context.out.log.push_back({EventId::kGangLeaseExpired,
                             fmt::format("attempt={} tasks={}", attempt.value(), keys.size())});
  for (const TaskKey& key : keys) {
    const auto task = tasks_.find(key);
    // A stop that the scheduler has requested keeps its grace period, so that a member that stops
    // sooner does not cut the checkpoint short.
    if (task->second.stop) continue;
    BeginStop(context, task, StopReason::kGangMemberLost, options_.timings.backend_poll_wait);
  }
}

void AgentTasks::DropReservations(const EventContext& context) {
  std::vector<TaskKey> keys;
  for (const auto& [key, task] : tasks_) {
    if (task.state == TaskState::kPrepared) keys.push_back(key);
  }
  for (const TaskKey& key : keys) FinishStopped(context, tasks_.find(key), false);
}

void AgentTasks::StopAll(const EventContext& context, StopReason reason, Duration grace) {
  std::vector<TaskKey> keys;
  for (const auto& [key, task] : tasks_) keys.push_back(key);
  for (const TaskKey& key : keys) BeginStop(context, tasks_.find(key), reason, grace);
}

}  // namespace basilspring::internal
