#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/agent_tasks.h"

/// The part of AgentTasks that deals with the backend server: start, poll, checkpoint and stop.
namespace basilspring::internal {
namespace {

// A backend server that refuses connections this often in a row has died. One refusal can come from
// a full accept queue.
constexpr int kMaxUnreachable = 3;

// Reasons travel in TaskDone and in log lines.
constexpr std::size_t kMaxReasonBytes = 1024;

// Pause before a call is repeated; 250 ms with the default timings.
Duration RetryPause(const Timings& timings) { return timings.backend_poll / 8; }

}  // namespace

void AgentTasks::OnResult(const Step& step, const BackendResult& result) {
  const auto task = tasks_.find(result.task);
  // Late answers about a task that has ended change nothing.
  if (task == tasks_.end()) return;
  switch (result.call) {
    case BackendCallKind::kStart:
      OnStartResult(step, task, result);
      break;
    case BackendCallKind::kPoll:
      OnPollResult(step, task, result);
      break;
    case BackendCallKind::kCheckpoint:
      OnCheckpointResult(step, task, result);
      break;
    case BackendCallKind::kThrottle:
      break;
    case BackendCallKind::kStop:
      OnStopResult(step, task, result);
      break;
  }
}

void AgentTasks::OnStartResult(const Step& step, Tasks::iterator task,
                               const BackendResult& result) {
  AgentTask& state = task->second;
  state.start_pending = false;
  switch (result.status) {
    case BackendStatus::kTooLate:
    case BackendStatus::kRefused:
    case BackendStatus::kUnreachable:
      if (state.stop) {
        FinishStopped(step, task, false);
      } else {
        const bool late = result.status == BackendStatus::kTooLate;
        FinishDone(step, task, late ? ErrorKind::kPermitExpired : ErrorKind::kBackendUnavailable,
                   false, "", result.text);
      }
      return;
    case BackendStatus::kUnknownTask:
    case BackendStatus::kNoAnswer:
      // The start may have had its effect. A second one could run the task twice when the backend
      // server was restarted in between, so polls find out.
      state.fresh_connection = true;
      break;
    case BackendStatus::kRunning:
    case BackendStatus::kDone:
    case BackendStatus::kFailed:
      Confirm(step, task->first, state);
      if (result.status == BackendStatus::kRunning) break;
      if (result.status == BackendStatus::kDone) {
        FinishDone(step, task, ErrorKind::kNone, true, result.text, "");
      } else {
        FinishDone(step, task, ErrorKind::kTaskFailed, true, "", result.text);
      }
      return;
  }
  if (state.stop) {
    AdvanceStop(step, task);
  } else {
    Poll(step, task->first, state);
  }
}

void AgentTasks::OnPollResult(const Step& step, Tasks::iterator task, const BackendResult& result) {
  AgentTask& state = task->second;
  state.poll_pending = false;
  if (result.status == BackendStatus::kDone) {
    // A whole output is worth more than a stop that has just begun.
    Confirm(step, task->first, state);
    FinishDone(step, task, ErrorKind::kNone, true, result.text, "");
    return;
  }
  // Once the stop was sent, its own answer decides.
  if (state.stop && state.stop->stop_sent) return;
  switch (result.status) {
    case BackendStatus::kDone:
      break;
    case BackendStatus::kRunning:
      Confirm(step, task->first, state);
      Poll(step, task->first, state);
      break;
    case BackendStatus::kFailed:
      Confirm(step, task->first, state);
      FinishDone(step, task, ErrorKind::kTaskFailed, true, "", result.text);
      break;
    case BackendStatus::kTooLate:
    case BackendStatus::kRefused:
      FinishDone(step, task, ErrorKind::kBackendUnavailable, true, "", result.text);
      break;
    case BackendStatus::kUnknownTask:
      OnTaskMissing(step, task);
      break;
    case BackendStatus::kUnreachable:
      OnNoConnection(step, task);
      break;
    case BackendStatus::kNoAnswer:
      state.fresh_connection = true;
      GiveUpWhenLeaseLapsed(step, task);
      break;
  }
}

void AgentTasks::OnTaskMissing(const Step& step, Tasks::iterator task) {
  AgentTask& state = task->second;
  if (!state.confirmed && step.now <= state.not_after) {
    // The start call can still be on its way; after not_after it is refused.
    state.next_poll = step.now + RetryPause(options_.timings);
    return;
  }
  // Counts as started even when it was never confirmed: the backend server may have been restarted.
  FinishDone(step, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server doesn't know the task");
}

void AgentTasks::OnNoConnection(const Step& step, Tasks::iterator task) {
  AgentTask& state = task->second;
  state.fresh_connection = true;
  if (++state.unreachable < kMaxUnreachable) {
    state.next_poll = step.now + RetryPause(options_.timings);
    return;
  }
  FinishDone(step, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server accepts no connections");
}

void AgentTasks::GiveUpWhenLeaseLapsed(const Step& step, Tasks::iterator task) {
  AgentTask& state = task->second;
  const Timings& timings = options_.timings;
  if (step.now - state.renewed < timings.task_lease + timings.backend_poll * 2) {
    // After a timeout there has been a wait already; a connection that breaks at once gets a pause.
    if (step.now - state.poll_sent >= timings.backend_poll) {
      Poll(step, task->first, state);
    } else {
      state.next_poll = step.now + RetryPause(timings);
    }
    return;
  }
  // Polls without an answer may have renewed the lease, so a stop is tried too.
  BackendCall call;
  call.kind = BackendCallKind::kStop;
  call.backend = state.backend;
  call.task = task->first;
  call.timeout = timings.backend_poll;
  call.fresh_connection = true;
  step.out.calls.push_back(std::move(call));
  FinishDone(step, task, ErrorKind::kBackendUnavailable, true, "",
             "the backend server has not answered for the length of the task lease");
}

void AgentTasks::Confirm(const Step& step, const TaskKey& key, AgentTask& task) const {
  task.renewed = step.now;
  task.unreachable = 0;
  task.fresh_connection = false;
  if (task.confirmed) return;
  task.confirmed = true;
  step.out.log.push_back({EventId::kTaskStarted, fmt::format("task={}", key.ToString())});
  if (!step.scheduler.empty()) {
    step.out.messages.push_back({step.scheduler, TaskStarted{key.attempt, key.rank}, false});
  }
}

void AgentTasks::Poll(const Step& step, const TaskKey& key, AgentTask& task) const {
  const Duration poll = options_.timings.backend_poll;
  task.poll_pending = true;
  task.poll_sent = step.now;
  BackendCall call;
  call.kind = BackendCallKind::kPoll;
  call.backend = task.backend;
  call.task = key;
  call.wait = poll;
  call.lease = options_.timings.task_lease;
  call.timeout = poll + poll / 2;
  call.fresh_connection = task.fresh_connection;
  step.out.calls.push_back(std::move(call));
}

void AgentTasks::BeginStop(const Step& step, Tasks::iterator task, StopReason reason,
                           Duration grace) {
  AgentTask& state = task->second;
  if (state.state == TaskState::kPrepared) {
    FinishStopped(step, task, false);
    return;
  }
  if (state.stop) {
    // A repeated stop can only shorten the grace.
    state.stop->checkpoint_until = std::min(state.stop->checkpoint_until, step.now + grace);
  } else {
    const Timings& timings = options_.timings;
    StopProgress& stop = state.stop.emplace();
    stop.reason = reason;
    stop.checkpoint_until = step.now + grace;
    stop.next_stop = step.now;
    stop.give_up = stop.checkpoint_until + timings.task_lease + timings.backend_poll * 2;
    state.state = TaskState::kStopping;
  }
  AdvanceStop(step, task);
}

void AgentTasks::AdvanceStop(const Step& step, Tasks::iterator task) {
  AgentTask& state = task->second;
  StopProgress& stop = *state.stop;
  // A stop that overtakes the start call would leave the task running.
  if (state.start_pending || stop.stop_pending) return;
  BackendCall call;
  call.backend = state.backend;
  call.task = task->first;
  call.fresh_connection = state.fresh_connection;
  const bool wait_for_checkpoint =
      !stop.stop_sent && !stop.checkpoint_answered && step.now < stop.checkpoint_until;
  if (wait_for_checkpoint) {
    if (stop.checkpoint_sent) return;
    stop.checkpoint_sent = true;
    call.kind = BackendCallKind::kCheckpoint;
    call.timeout = stop.checkpoint_until - step.now;
  } else {
    if (step.now < stop.next_stop) return;
    stop.stop_sent = true;
    stop.stop_pending = true;
    call.kind = BackendCallKind::kStop;
    call.timeout = options_.timings.backend_poll;
  }
  step.out.calls.push_back(std::move(call));
}

void AgentTasks::OnCheckpointResult(const Step& step, Tasks::iterator task,
                                    const BackendResult& result) {
  AgentTask& state = task->second;
  if (!state.stop) return;
  state.stop->checkpoint_answered = true;
  if (result.status == BackendStatus::kDone) state.stop->checkpointed = true;
  if (result.status == BackendStatus::kNoAnswer) state.fresh_connection = true;
  AdvanceStop(step, task);
}

void AgentTasks::OnStopResult(const Step& step, Tasks::iterator task, const BackendResult& result) {
  AgentTask& state = task->second;
  if (!state.stop) return;
  StopProgress& stop = *state.stop;
  stop.stop_pending = false;
  const bool start_may_follow = !state.confirmed && step.now <= state.not_after;
  const bool gone = result.status == BackendStatus::kUnknownTask && !start_may_follow;
  const bool dead =
      result.status == BackendStatus::kUnreachable && ++state.unreachable >= kMaxUnreachable;
  if (result.status == BackendStatus::kDone || gone || dead) {
    FinishStopped(step, task, true);
    return;
  }
  state.fresh_connection = true;
  stop.next_stop = step.now + RetryPause(options_.timings);
}

void AgentTasks::FinishDone(const Step& step, Tasks::iterator task, ErrorKind error, bool started,
                            std::string output, std::string message) {
  const TaskKey key = task->first;
  const AgentTask& state = task->second;
  TaskDone done;
  done.attempt = key.attempt;
  done.job = state.reservation.job;
  done.rank = key.rank;
  done.error = error;
  done.started = started;
  done.output = std::move(output);
  done.message = std::move(message);
  if (done.message.size() > kMaxReasonBytes) done.message.resize(kMaxReasonBytes);
  if (started) done.ran_for = step.now - state.started;
  step.out.log.push_back(
      {EventId::kTaskFinished,
       fmt::format("task={} error={} started={} ran_ms={} reason=\"{}\"", key.ToString(),
                   ErrorInfo(error).name, started, done.ran_for.milliseconds(), done.message)});
  decided_.Add(key, {started ? ErrorKind::kConflict : error, started});
  gangs_.End(step.now, key, error == ErrorKind::kNone);
  Finish(step, task, std::move(done));
}

void AgentTasks::FinishStopped(const Step& step, Tasks::iterator task, bool started) {
  const TaskKey key = task->first;
  const AgentTask& state = task->second;
  TaskStopped stopped;
  stopped.attempt = key.attempt;
  stopped.job = state.reservation.job;
  stopped.rank = key.rank;
  stopped.started = started;
  stopped.checkpointed = state.stop && state.stop->checkpointed;
  if (started) stopped.ran_for = step.now - state.started;
  step.out.log.push_back(
      {EventId::kTaskStopped,
       fmt::format("task={} reason=\"{}\" started={} checkpointed={} ran_ms={}", key.ToString(),
                   state.stop ? StopReasonName(state.stop->reason) : "reservation dropped", started,
                   stopped.checkpointed, stopped.ran_for.milliseconds())});
  decided_.Add(key, {started ? ErrorKind::kConflict : ErrorKind::kReservationMissing, started});
  gangs_.End(step.now, key, false);
  Finish(step, task, std::move(stopped));
}

void AgentTasks::Tick(const Step& step) {
  std::vector<TaskKey> keys;
  keys.reserve(tasks_.size());
  for (const auto& [key, task] : tasks_) keys.push_back(key);
  for (const TaskKey& key : keys) {
    const auto task = tasks_.find(key);
    AgentTask& state = task->second;
    if (state.state == TaskState::kPrepared) {
      if (step.now >= state.expires) LapseReservation(step, task);
      continue;
    }
    const bool stop_sent = state.stop && state.stop->stop_sent;
    if (!state.start_pending && !state.poll_pending && !stop_sent && step.now >= state.next_poll) {
      Poll(step, key, state);
    }
    if (!state.stop) continue;
    if (step.now >= state.stop->give_up) {
      FinishStopped(step, task, true);
    } else {
      AdvanceStop(step, task);
    }
  }
  for (const AttemptId& attempt : gangs_.Tick(step.now, step.out)) StopAttempt(step, attempt);
  for (auto& [key, kept] : undelivered_) {
    if (step.now >= kept.next_send) SendAgain(step, kept);
  }
}

void AgentTasks::StopAttempt(const Step& step, const AttemptId& attempt) {
  std::vector<TaskKey> keys;
  for (auto task = tasks_.lower_bound(TaskKey{attempt, 0});
       task != tasks_.end() && task->first.attempt == attempt; ++task) {
    keys.push_back(task->first);
  }
  if (keys.empty()) return;
  step.out.log.push_back({EventId::kGangLeaseExpired,
                          fmt::format("attempt={} tasks={}", attempt.value(), keys.size())});
  for (const TaskKey& key : keys) {
    const auto task = tasks_.find(key);
    // A stop that the scheduler has asked for keeps its grace, so that its checkpoint is not cut
    // short by a member that has stopped sooner.
    if (task->second.stop) continue;
    BeginStop(step, task, StopReason::kGangMemberLost, options_.timings.backend_poll);
  }
}

void AgentTasks::DropReservations(const Step& step) {
  std::vector<TaskKey> keys;
  for (const auto& [key, task] : tasks_) {
    if (task.state == TaskState::kPrepared) keys.push_back(key);
  }
  for (const TaskKey& key : keys) FinishStopped(step, tasks_.find(key), false);
}

void AgentTasks::StopAll(const Step& step, StopReason reason, Duration grace) {
  std::vector<TaskKey> keys;
  for (const auto& [key, task] : tasks_) keys.push_back(key);
  for (const TaskKey& key : keys) BeginStop(step, tasks_.find(key), reason, grace);
}

}  // namespace basilspring::internal
