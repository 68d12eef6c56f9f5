#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// What the scheduler looks at in each pass: runs that nobody wants, silent and leaving workers, and
// runs that make no progress.
namespace basilspring::fleet {

void SchedulerCore::StopUnwanted(TimePoint now) {
  for (auto& [node, worker] : workers_) {
    for (auto& [key, run] : worker.runs) {
      if (run.stopping) continue;
      Job* job = FindJob(key.task);
      const bool wanted = job != nullptr && !IsFinal(job->phase) &&
                          TaskOf(*job, key.task).phase == TaskPhase::kActive &&
                          TaskOf(*job, key.task).run == key.run;
      if (wanted) continue;
      // The other members of a gang that has ended are listed as ended by themselves.
      const bool ends_itself = job != nullptr && job->phase == JobPhase::kCompleted &&
                               SpecOf(*job, StepIndex(*job, key.task)).gang &&
                               now - run.progressed_at < options_.stop_retry;
      if (!ends_itself) RequestStop(now, worker, key, run);
    }
  }
  for (const JobId& id : active_) {
    Job& job = jobs_.at(id);
    if (!job.started) continue;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      if (!SpecOf(job, i).gang || RecoveryPending(now, job.steps[i])) continue;
      const auto& tasks = job.steps[i].tasks;
      const auto is = [](TaskPhase phase) {
        return [phase](const Task& task) { return task.phase == phase; };
      };
      const bool partial = std::any_of(tasks.begin(), tasks.end(), is(TaskPhase::kActive)) &&
                           std::any_of(tasks.begin(), tasks.end(), is(TaskPhase::kWaiting));
      if (partial) StopStep(now, job, i);
    }
  }
}

bool SchedulerCore::RecoveryPending(TimePoint now, const Step& step) const {
  if (now > LeaseHorizon(term_began_)) return false;
  return std::any_of(step.agents.begin(), step.agents.end(), [this](const NodeId& node) {
    const auto found = workers_.find(node);
    return found != workers_.end() && !found->second.rows_seen;
  });
}

void SchedulerCore::CheckSilentWorkers(TimePoint now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    Worker& worker = it->second;
    const TimePoint alive = std::max(worker.last_alive, term_began_);
    if (now > LeaseHorizon(alive)) {
      if (!worker.runs.empty()) LoseWorker(now, worker, "its lease has run out");
      if (!worker.reported || now > LeaseHorizon(worker.last_report)) {
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
      if (run.stopping || !MustLeave(now, worker, key)) continue;
      Say(fmt::format("task={} run={} worker={} is stopped: the worker leaves", key.task.ToString(),
                      key.run.value(), node.value()));
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
    // The members of a gang end together, so the slowest one decides.
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

bool SchedulerCore::MustLeave(TimePoint now, const Worker& worker, const RunKey& key) const {
  const Duration left = worker.drain_deadline - now;
  const bool last_call = left <= options_.stop_time + options_.drain_margin;
  const auto job = jobs_.find(key.task.job);
  if (job == jobs_.end()) return last_call;
  const StepSpec& spec = SpecOf(job->second, StepIndex(job->second, key.task));
  // A lasting run is of use to the end, and one with checkpoints loses nothing by working on.
  if (spec.long_running || spec.checkpoints) return last_call;
  return TimeToFinish(now, job->second, key) + options_.finish_margin > left;
}

bool SchedulerCore::GangProgresses(TimePoint now, const Job& job, std::size_t step) const {
  if (!SpecOf(job, step).gang) return false;
  // Members that have done their share wait for the slower ones, because all end together.
  for (std::size_t i = 0; i < job.steps[step].tasks.size(); ++i) {
    const Task& task = job.steps[step].tasks[i];
    const auto worker = workers_.find(task.worker);
    if (task.phase != TaskPhase::kActive || worker == workers_.end()) continue;
    const auto run = worker->second.runs.find({IdOf(job, step, i), task.run});
    if (run == worker->second.runs.end()) continue;
    if (now - run->second.progressed_at < options_.stall_limit) return true;
  }
  return false;
}

void SchedulerCore::CheckStalls(TimePoint now) {
  for (auto& [node, worker] : workers_) {
    if (now - worker.last_report > options_.silence_limit) continue;
    for (auto& [key, run] : worker.runs) {
      if (run.stopping || !run.confirmed) continue;
      if (now - std::max(run.progressed_at, run.working_since) < options_.stall_limit) continue;
      Job* job = FindJob(key.task);
      if (job == nullptr || SpecOf(*job, StepIndex(*job, key.task)).long_running) continue;
      if (GangProgresses(now, *job, StepIndex(*job, key.task))) continue;
      ++counts_.runs_stalled;
      Say(fmt::format("task={} run={} worker={} percent={} stands still for {} ms: stopped",
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
