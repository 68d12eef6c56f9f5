#include "basilspring/fleet/scheduler_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilspring::fleet {
namespace {

// Upper bound of a job's age when it is read. An older acceptance time comes from a wrong clock.
constexpr Duration kMaxJobAge = Duration::Seconds(3600);
// Time between two writes for a job that the store does not accept; doubles up to the maximum. The
// record may have changed meanwhile, and the calls must not use up the store's rate limit.
constexpr Duration kMinRejectedSaveRetry(5000);
constexpr Duration kMaxRejectedSaveRetry(60000);

}  // namespace

SchedulerCore::SchedulerCore(SchedulerOptions options, Term term, TimePoint now)
    : options_(options),
      term_(term),
      term_started_at_(now),
      operator_state_(std::make_shared<OperatorState>()),
      urgent_headroom_(options),
      next_session_((term.value() << 32U) + 1) {}

std::size_t SchedulerCore::StepIndex(const Job& job, const TaskId& task) {
  return static_cast<std::size_t>(task.occurrence) * job.spec.steps.size() +
         static_cast<std::size_t>(task.step);
}

const StepSpec& SchedulerCore::SpecOf(const Job& job, std::size_t step) {
  return job.spec.steps[step % job.spec.steps.size()];
}

TaskId SchedulerCore::IdOf(const Job& job, std::size_t step, std::size_t index) {
  const std::size_t steps = job.spec.steps.size();
  return {job.spec.id, static_cast<std::int32_t>(step / steps),
          static_cast<std::int32_t>(step % steps), static_cast<std::int32_t>(index)};
}

SchedulerCore::Job* SchedulerCore::FindJob(const TaskId& task) {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return nullptr;
  Job& job = found->second;
  const bool exists = task.occurrence >= 0 && task.step >= 0 && task.index >= 0 &&
                      task.occurrence < job.spec.occurrence_count() &&
                      task.step < static_cast<std::int32_t>(job.spec.steps.size()) &&
                      task.index < job.spec.steps[static_cast<std::size_t>(task.step)].task_count;
  return exists ? &job : nullptr;
}

SchedulerCore::Task& SchedulerCore::TaskOf(Job& job, const TaskId& task) {
  return job.steps[StepIndex(job, task)].tasks[static_cast<std::size_t>(task.index)];
}

void SchedulerCore::SetOperatorState(std::shared_ptr<const OperatorState> state) {
  operator_state_ = std::move(state);
  for (auto& [id, job] : jobs_) {
    RefreshQueue(job);
    FailIfAttemptsUsedUp(job);
  }
}

void SchedulerCore::RefreshQueue(Job& job) {
  // Jobs of a removed queue keep its last settings except the service, so they are not scheduled.
  if (const Queue* queue = operator_state_->config.FindQueue(job.spec.queue)) {
    job.queue = *queue;
    job.queue_known = true;
  } else {
    job.queue.id = job.spec.queue;
    job.queue.service = ServiceId();
  }
}

void SchedulerCore::AddJob(TimePoint now, std::int64_t wall_ms, JobSpec spec,
                           const std::optional<JobProgress>& progress,
                           std::int64_t record_revision) {
  if (jobs_.count(spec.id) != 0) return;
  wall_ms_ = wall_ms;
  Job job;
  const Duration age(
      std::clamp<std::int64_t>(wall_ms - spec.accepted_unix_ms, 0, kMaxJobAge.milliseconds()));
  job.accepted_at = now - age;
  job.steps.resize(spec.steps.size() * static_cast<std::size_t>(spec.occurrence_count()));
  job.spec = std::move(spec);
  for (std::size_t i = 0; i < job.steps.size(); ++i) {
    job.steps[i].tasks.resize(static_cast<std::size_t>(SpecOf(job, i).task_count));
  }
  if (progress) {
    const JobPhase phase = PhaseIn(*progress);
    if (IsFinal(phase)) job.phase = phase;
    job.phase_stored = IsFinal(phase);
    job.finished_unix_ms = progress->finished_unix_ms;
    job.begun = phase != JobPhase::kQueued;
    for (std::size_t i = 0; i < std::min(job.steps.size(), progress->steps.size()); ++i) {
      Step& step = job.steps[i];
      const StepProgress& stored = progress->steps[i];
      step.agents.insert(stored.agents.begin(), stored.agents.end());
      for (std::size_t k = 0; k < std::min(stored.done.size(), step.tasks.size()); ++k) {
        if (stored.done[k] == 0) continue;
        step.tasks[k].phase = TaskPhase::kDone;
        ++step.done;
      }
      for (const FailedRun& failed : stored.failed_runs) {
        const auto index = static_cast<std::size_t>(failed.index);
        if (index < step.tasks.size()) step.tasks[index].failed_runs.insert(failed.run);
      }
    }
  }
  if (progress) {
    for (const CrashedRun& crashed : progress->crashed_runs) {
      const auto step = static_cast<std::size_t>(crashed.step);
      const auto index = static_cast<std::size_t>(crashed.index);
      if (step >= job.steps.size() || index >= job.steps[step].tasks.size()) continue;
      job.steps[step].tasks[index].crashed_runs[crashed.run] =
          crashed.listed ? RunEvidence::kListed : RunEvidence::kAccepted;
    }
  }
  RefreshQueue(job);
  job.cancelled = cancelled_before_added_.erase(job.spec.id) > 0;
  LogDecision(fmt::format(
      "job={} queue={} workspace={} tasks={} age_ms={} recorded={} record_revision={} phase={} "
      "done={} cancelled={} job added",
      job.spec.id.value(), job.spec.queue.value(), job.spec.workspace.value(),
      job.steps.empty() ? 0 : job.steps.front().tasks.size(), age.milliseconds(),
      progress.has_value(), record_revision, JobPhaseName(CurrentPhase(job)),
      progress ? CountDoneTasks(*progress) : 0, job.cancelled));
  const JobId id = job.spec.id;
  Job& added = jobs_.emplace(id, std::move(job)).first->second;
  if (!IsFinal(added.phase)) active_.insert(id);
  if (IsPending(added)) ++pending_[added.spec.queue];
  CountListedRuns(now, added);
  if (added.cancelled && !IsFinal(added.phase)) {
    FinishJob(added, JobPhase::kCancelled, "cancelled by its caller");
  }
  FailIfAttemptsUsedUp(added);
}

void SchedulerCore::CountListedRuns(TimePoint now, Job& job) {
  for (auto& [node, worker] : workers_) {
    for (auto& [key, run] : worker.runs) {
      if (key.task.job != job.spec.id || FindJob(key.task) == nullptr) continue;
      const std::size_t step = StepIndex(job, key.task);
      run.needs = SpecOf(job, step).needs;
      run.needs_known = true;
      ++TaskOf(job, key.task).live_runs;
      ++job.live_runs;
      NameAgent(job, step, node);
      RecordBegin(now, worker, job, key, "listed");
    }
  }
}

void SchedulerCore::NameAgent(Job& job, std::size_t step, const NodeId& node) {
  const bool added = job.steps[step].agents.insert(node).second;
  if (added && !IsFinal(job.phase)) ++job.version;
}

void SchedulerCore::AddUnreadableJob(TimePoint now, std::int64_t wall_ms, JobSpec spec,
                                     std::int64_t record_revision) {
  const JobId id = spec.id;
  if (jobs_.count(id) != 0) return;
  // Cancelled jobs are recorded as such, whatever their record contains.
  AddJob(now, wall_ms, std::move(spec), std::nullopt, record_revision);
  Job& job = jobs_.at(id);
  job.record_fault = RecordFault::kUnreadable;
  // A record is first written for a start, so the job may have begun.
  StopCountingAsPending(job);
  job.begun = true;
}

void SchedulerCore::CancelJob(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    cancelled_before_added_[id].kept_since.reset();
    return;
  }
  Job& job = found->second;
  job.cancelled = true;
  job.kept_since.reset();
  if (!IsFinal(job.phase)) FinishJob(job, JobPhase::kCancelled, "cancelled by its caller");
}

void SchedulerCore::ExpectAgent(const NodeId& node, const Address& address) {
  Worker& worker = workers_[node];
  worker.node = node;
  worker.address = address;
  if (!worker.reported) unreported_agents_.insert(node);
}

void SchedulerCore::ReleaseClaims(Step& step) {
  step.reserved_workers.clear();
  step.held_back_workers.clear();
}

void SchedulerCore::FinishJob(Job& job, JobPhase phase, const std::string& reason) {
  StopCountingAsPending(job);
  job.phase = phase;
  job.phase_stored = false;
  job.finished_unix_ms = wall_ms_;
  // The final record is much smaller, so the store may accept it.
  job.save_not_before = TimePoint();
  ++job.version;
  active_.erase(job.spec.id);
  for (Step& step : job.steps) ReleaseClaims(step);
  if (phase == JobPhase::kCompleted) ++counts_.jobs_completed;
  if (phase == JobPhase::kFailed) ++counts_.jobs_failed;
  if (phase == JobPhase::kCancelled) ++counts_.jobs_cancelled;
  LogDecision(fmt::format("job={} queue={} age_ms={} phase={} reason=\"{}\"", job.spec.id.value(),
                          job.spec.queue.value(), wall_ms_ - job.spec.accepted_unix_ms,
                          JobPhaseName(phase), reason));
}

JobProgress SchedulerCore::ProgressOf(Job& job) {
  JobProgress progress;
  progress.phase = static_cast<std::uint8_t>(CurrentPhase(job));
  progress.finished_unix_ms = job.finished_unix_ms;
  if (IsFinal(job.phase)) return progress;
  for (Step& step : job.steps) {
    const auto step_index = static_cast<std::int32_t>(progress.steps.size());
    StepProgress& recorded = progress.steps.emplace_back();
    if (step.done > 0) recorded.done.resize(step.tasks.size(), 0);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (step.tasks[i].phase == TaskPhase::kDone) recorded.done[i] = 1;
      for (const RunNumber run : step.tasks[i].failed_runs) {
        recorded.failed_runs.push_back({static_cast<std::int32_t>(i), run});
      }
      for (const auto& [run, evidence] : step.tasks[i].crashed_runs) {
        if (!IsCertain(evidence)) continue;
        progress.crashed_runs.push_back(
            {step_index, static_cast<std::int32_t>(i), run, evidence == RunEvidence::kListed});
      }
    }
    recorded.agents.assign(step.agents.begin(), step.agents.end());
  }
  return progress;
}

void SchedulerCore::CollectSaves(TimePoint now, SchedulerOutput& out) {
  CollectBegunJobs(now);
  for (auto& [id, job] : jobs_) {
    if (job.version == job.saved_version || job.saving_version != 0) continue;
    if (now < job.save_not_before) continue;
    // A partial record must not replace one that a later scheduler may be able to read.
    if (job.record_fault == RecordFault::kUnreadable && !IsFinal(job.phase)) continue;
    job.saving_version = job.version;
    unrecorded_begins_.erase(id);
    const JobProgress progress = ProgressOf(job);
    ProgressSave save{id, job.version, EncodeJobProgress(progress)};
    save.phase = CurrentPhase(job);
    save.done_tasks = CountDoneTasks(progress);
    out.saves.push_back(std::move(save));
  }
}

void SchedulerCore::RemoveOldJobs(TimePoint now, SchedulerOutput& out) {
  for (auto& [id, job] : jobs_) {
    if (!job.phase_stored || job.saving_version != 0 || job.removing) continue;
    if (!job.kept_since) job.kept_since = now;
    if (now - *job.kept_since < options_.keep_finished) continue;
    if (now < job.save_not_before) continue;
    // The job stays known until its keys are deleted. Otherwise the next read of the jobs would
    // add it again without its record.
    job.removing = true;
    out.saves.push_back({id, 0, "", true});
  }
}

void SchedulerCore::RemoveOldCancels(TimePoint now, SchedulerOutput& out) {
  for (auto& [id, cancel] : cancelled_before_added_) {
    if (cancel.removing) continue;
    if (!cancel.kept_since) cancel.kept_since = now;
    if (now - *cancel.kept_since < options_.keep_finished) continue;
    cancel.removing = true;
    out.saves.push_back({id, 0, "", true});
  }
}

void SchedulerCore::OnRemoved(const JobId& id) {
  jobs_.erase(id);
  cancelled_before_added_.erase(id);
}

void SchedulerCore::OnRemovalRefused(const JobId& id) {
  if (const auto job = jobs_.find(id); job != jobs_.end()) {
    job->second.removing = false;
    job->second.kept_since.reset();
  }
  const auto cancel = cancelled_before_added_.find(id);
  if (cancel != cancelled_before_added_.end()) cancel->second = EarlyCancel();
}

void SchedulerCore::OnSaved(const JobId& id, std::uint64_t version) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  job.saving_version = 0;
  job.saved_version = std::max(job.saved_version, version);
  job.record_fault = RecordFault::kNone;
  job.save_not_before = TimePoint();
  job.save_retry_delay = Duration();
  if (IsFinal(job.phase) && job.saved_version == job.version) job.phase_stored = true;
  for (auto& [node, worker] : workers_) {
    for (auto it = worker.unsaved_ends.begin(); it != worker.unsaved_ends.end();) {
      const auto& [end_job, needed] = it->second;
      it = end_job == id && needed <= job.saved_version ? worker.unsaved_ends.erase(it)
                                                        : std::next(it);
    }
  }
}

void SchedulerCore::OnSaveRejected(TimePoint now, const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  Job& job = found->second;
  job.save_retry_delay =
      std::clamp(job.save_retry_delay * 2, kMinRejectedSaveRetry, kMaxRejectedSaveRetry);
  job.save_not_before = now + job.save_retry_delay;
  job.saving_version = 0;
  if (std::exchange(job.removing, false)) return;
  if (job.record_fault == RecordFault::kNone) job.record_fault = RecordFault::kRejected;
  // These starts would occupy capacity for as long as the record is not stored.
  for (PendingOrder& pending : std::exchange(pending_orders_, {})) {
    const bool given_up = AwaitsRecord(pending) && pending.order.task.job == id;
    const auto worker = workers_.find(pending.worker);
    if (!given_up) {
      pending_orders_.push_back(std::move(pending));
    } else if (worker != workers_.end()) {
      LogDecision(fmt::format("task={} run={} worker={} start given up: its record is rejected",
                              pending.order.task.ToString(), pending.order.run.value(),
                              pending.worker.value()));
      ReleaseRun(now, worker->second, {pending.order.task, pending.order.run}, false);
    }
  }
}

SchedulerOutput SchedulerCore::Tick(TimePoint now, std::int64_t wall_ms, bool may_start) {
  SchedulerOutput out;
  wall_ms_ = wall_ms;
  CheckSilentWorkers(now);
  CheckDrains(now);
  CheckStalls(now);
  StopUnwantedRuns(now);
  if (may_start) Schedule(now);
  EmitOrders(now, out);
  CollectSaves(now, out);
  RemoveOldJobs(now, out);
  RemoveOldCancels(now, out);
  out.decisions = std::exchange(decisions_, {});
  return out;
}

}  // namespace basilspring::fleet
