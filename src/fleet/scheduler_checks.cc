#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// Checks made in each pass: obsolete runs, silent and draining workers, and stalled runs.
namespace basilspring::fleet {
namespace {

// Progress is listed in whole percent. A run counts as stalled only after this multiple of the
// predicted time of one percent, because a task away from its data takes about three times as long.
constexpr std::int64_t kStallPercent = 4;
// Number of stalls after which the limit doubles with each further one, so that a task whose run
// time was underestimated ends at last. Workers that fail make a few runs stall as well.
constexpr std::int32_t kStallsBeforeDoubling = 1;
constexpr std::int32_t kMaxStallDoublings = 10;

}  // namespace

void SchedulerCore::StopUnwantedRuns(TimePoint now) {
  for (auto& [node, worker] : workers_) {
    for (auto& [key, run] : worker.runs) {
      if (run.stopping) continue;
      Job* job = FindJob(key.task);
      const bool wanted = job != nullptr && !IsFinal(job->phase) &&
                          TaskOf(*job, key.task).phase == TaskPhase::kActive &&
                          TaskOf(*job, key.task).run == key.run;
      if (wanted) continue;
      // The remaining members of a completed gang end without a stop.
      const bool ends_itself = job != nullptr && job->phase == JobPhase::kCompleted &&
                               SpecOf(*job, StepIndex(*job, key.task)).gang &&
                               now - run.progressed_at < options_.stop_retry_interval;
      if (!ends_itself) RequestStop(now, worker, key, run);
    }
  }
  for (const JobId& id : active_) {
    Job& job = jobs_.at(id);
    if (job.live_runs == 0) continue;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!SpecOf(job, i).gang || RecoveryPending(now, job.steps[i])) continue;
      const auto& tasks = job.steps[i].tasks;
      const auto in_phase = [](TaskPhase phase) {
        return [phase](const Task& task) { return task.phase == phase; };
      };
      const bool incomplete =
          std::any_of(tasks.begin(), tasks.end(), in_phase(TaskPhase::kActive)) &&
          std::any_of(tasks.begin(), tasks.end(), in_phase(TaskPhase::kWaiting));
      if (incomplete) StopStep(now, job, i);
    }
  }
}

bool SchedulerCore::RecoveryPending(TimePoint now, const Step& step) const {
  return std::any_of(step.agents.begin(), step.agents.end(), [&](const NodeId& node) {
    const auto found = workers_.find(node);
    if (found == workers_.end()) return false;
    if (found->second.runs_listed_at) return MayHaveStoppingRuns(now, found->second);
    // The runs continue for as long as the agent may have extended their lease in this term.
    return now <= LeaseExpiryBound(found->second);
  });
}

void SchedulerCore::CheckSilentWorkers(TimePoint now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    Worker& worker = it->second;
    if (now > LeaseExpiryBound(worker)) {
      if (!worker.runs.empty()) MarkWorkerLost(now, worker, "its lease has expired");
      if (!worker.reported || now > LeaseExpiryBound(worker.last_report)) {
        it = workers_.erase(it);
        continue;
      }
    }
    ++it;
  }
}

void SchedulerCore::CheckDrains(TimePoint now) {
  for (auto& [node, worker] : workers_) {
    if (!worker.backend || !worker.backend->draining) continue;
    for (auto& [key, run] : worker.runs) {
      if (run.stopping || !MustStopForDrain(now, worker, key)) continue;
      LogDecision(fmt::format("task={} run={} worker={} stopping the run: the worker is draining",
                              key.task.ToString(), key.run.value(), node.value()));
      Job* job = FindJob(key.task);
      const std::size_t step = job == nullptr ? 0 : StepIndex(*job, key.task);
      if (job != nullptr && SpecOf(*job, step).gang) {
        StopStep(now, *job, step);
      } else {
        RequestStop(now, worker, key, run);
      }
    }
  }
}

Duration SchedulerCore::TimeToFinish(TimePoint now, const Job& job, const RunKey& key) const {
  const std::size_t step = StepIndex(job, key.task);
  Duration longest;
  for (std::size_t i = 0; i < job.steps[step].tasks.size(); ++i) {
    const TaskId id = IdOf(job, step, i);
    // The members of a gang end together, with the slowest one.
    if (!SpecOf(job, step).gang && id != key.task) continue;
    const Task& task = job.steps[step].tasks[i];
    const auto worker = workers_.find(task.worker);
    if (task.phase != TaskPhase::kActive || worker == workers_.end()) continue;
    const auto run = worker->second.runs.find({id, task.run});
    if (run == worker->second.runs.end()) continue;
    longest = std::max(longest, RemainingTime(now, run->first, run->second));
  }
  return longest;
}

bool SchedulerCore::MustStopForDrain(TimePoint now, const Worker& worker, const RunKey& key) const {
  const Duration left = worker.drain_deadline - now;
  const bool stop_is_due = left <= options_.stop_time + options_.drain_margin;
  const auto job = jobs_.find(key.task.job);
  if (job == jobs_.end()) return stop_is_due;
  const StepSpec& spec = SpecOf(job->second, StepIndex(job->second, key.task));
  // A long-running task is useful until the end, and one with checkpoints loses no work by
  // continuing.
  if (spec.long_running || spec.checkpoints) return stop_is_due;
  return TimeToFinish(now, job->second, key) + options_.finish_margin > left;
}

bool SchedulerCore::IsProgressKnown(TimePoint now, const Worker& worker) const {
  return now - worker.last_report <= options_.silence_limit &&
         worker.poll_age <= options_.silence_limit;
}

Duration SchedulerCore::StallLimit(const Job& job, const TaskId& task) const {
  const std::size_t step = StepIndex(job, task);
  const StepSpec& spec = SpecOf(job, step);
  const Duration predicted = run_times_.Predict(job.spec.queue, task.step, spec.estimate);
  std::int32_t stalls = job.steps[step].tasks[static_cast<std::size_t>(task.index)].stalls;
  if (spec.gang) {
    for (const Task& member : job.steps[step].tasks) stalls = std::max(stalls, member.stalls);
  }
  const std::int32_t doublings = std::clamp(stalls - kStallsBeforeDoubling, 0, kMaxStallDoublings);
  return std::max(options_.stall_limit, predicted * kStallPercent / 100) *
         (std::int64_t{1} << doublings);
}

bool SchedulerCore::IsGangProgressing(TimePoint now, const Job& job, std::size_t step,
                                      Duration limit) const {
  if (!SpecOf(job, step).gang) return false;
  // Members that have completed their work wait for the slower ones, because all end together.
  for (std::size_t i = 0; i < job.steps[step].tasks.size(); ++i) {
    const Task& task = job.steps[step].tasks[i];
    const auto worker = workers_.find(task.worker);
    if (task.phase != TaskPhase::kActive || worker == workers_.end()) continue;
    const auto run = worker->second.runs.find({IdOf(job, step, i), task.run});
    if (run == worker->second.runs.end()) continue;
    if (!IsProgressKnown(now, worker->second)) return true;
    if (now - run->second.progressed_at < limit) return true;
  }
  return false;
}

void SchedulerCore::CheckStalls(TimePoint now) {
  for (auto& [node, worker] : workers_) {
    if (!IsProgressKnown(now, worker)) continue;
    for (auto& [key, run] : worker.runs) {
      if (run.stopping || !run.confirmed) continue;
      Job* job = FindJob(key.task);
      if (job == nullptr || SpecOf(*job, StepIndex(*job, key.task)).long_running) continue;
      const Duration limit = StallLimit(*job, key.task);
      if (now - std::max(run.progressed_at, run.working_since) < limit) continue;
      if (IsGangProgressing(now, *job, StepIndex(*job, key.task), limit)) continue;
      ++TaskOf(*job, key.task).stalls;
      ++counts_.runs_stalled;
      LogDecision(
          fmt::format("task={} run={} worker={} percent={} stopping the run: no progress for {} ms",
                      key.task.ToString(), key.run.value(), node.value(), run.percent,
                      (now - run.progressed_at).milliseconds()));
      CountWorkerFailure(now, worker, key.task.job);
      TaskOf(*job, key.task).failed_on.insert(node);
      const std::size_t step = StepIndex(*job, key.task);
      if (SpecOf(*job, step).gang) {
        StopStep(now, *job, step);
      } else {
        RequestStop(now, worker, key, run);
      }
    }
  }
}

}  // namespace basilspring::fleet
