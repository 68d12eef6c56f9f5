#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "fleet/scheduler_pass.h"

// Preemption of runs for an urgent step. Designed for urgent jobs that find all workers occupied by
// long ones, of which as little work as possible should be lost.
namespace basilspring::fleet {
namespace {

// Cost of stopping a member of a gang in addition to its lost work, in seconds of its run time.
constexpr double kGangRestartSeconds = 2.0;
// Added to the cost, in core-seconds, of borrowed runs of priority 0, so that they are stopped only
// as a last resort.
constexpr double kBorrowedPenalty = 1000.0;
// Added to the cost of a run, in core-seconds, for each previous preemption of its task.
constexpr double kRepeatedPreemptionPenalty = 50.0;
// A run that saves checkpoints saves one when it is stopped, so only the time to restore it is
// lost.
constexpr double kRestoreSeconds = 0.4;
// Jobs beyond their workspace's guarantee (borrowed) preempt others only if the loss is at most
// this multiple of their own work; beyond it, the total waiting time of all callers grows.
constexpr double kMaxLostWorkRatio = 4.0;
// Value of a core-second of work of priority 0 in lost core-seconds. A job that becomes on time
// instead of late may thus cause a loss of kMaxLostWorkRatio, and one that is late but of use
// instead of useless a quarter of that.
constexpr double kValuePerWork = kMaxLostWorkRatio / (1.0 - kLateShare);
}  // namespace

double SchedulerCore::LostWork(const Job& job, const RunKey& key, const Allocation& run,
                               TimePoint now) const {
  const std::size_t index = StepIndex(job, key.task);
  const StepSpec& spec = SpecOf(job, index);
  const Duration predicted = run_times_.Predict(job.spec.queue, key.task.step, spec.estimate);
  double seconds = static_cast<double>((now - run.working_since).milliseconds()) / 1000.0;
  const double by_percent =
      static_cast<double>(predicted.milliseconds()) * run.percent / 100.0 / 1000.0;
  seconds = std::min(seconds, by_percent);
  if (spec.checkpoints) seconds = std::min(seconds, kRestoreSeconds);
  return std::max(0.0, seconds) * spec.needs.Weight();
}

bool SchedulerCore::IsWorthPreempting(TimePoint now, const ReadyStep& ready,
                                      const Placement& placement) {
  if (ready.tier == kTierGuaranteed) return true;
  if (options_.shortage == ShortagePolicy::kTiers) {
    return placement.lost_work <= kMaxLostWorkRatio * ready.own_work;
  }
  Step& step = ready.job->steps[ready.step];
  JobValue value = ready.value;
  value.work *= kValuePerWork;
  const double loss = placement.lost_work + step.preemption_loss;
  const double after_stop = ValueOfEnd(value, now + options_.stop_time + ready.critical_path);
  // Without the stop the step counts as of no use: predictions of when running work ends are too
  // uncertain for a wait that is shorter than the slack of an urgent job.
  const double gain = std::min(after_stop, kMaxLostWorkRatio * ready.own_work);
  const bool worth_it = loss <= gain;
  if (worth_it || !std::exchange(step.preemption_declined, true)) {
    if (!worth_it) ++counts_.preemptions_declined;
    LogDecision(
        fmt::format("job={} step={} tier={} index={:.5f} slack_ms={} gain={:.1f} loss={:.1f} "
                    "victims={} {}",
                    ready.job->spec.id.value(), ready.step, ready.tier, ready.index,
                    (ready.latest_start - now).milliseconds(), gain, loss, placement.victims.size(),
                    worth_it ? "preempting, as the gain exceeds the loss"
                             : "not preempting, as the loss exceeds the gain"));
  }
  return worth_it;
}

void SchedulerCore::AddVictims(TimePoint now, const Pass& pass, const ReadyStep& ready,
                               PlacementView& view) const {
  std::map<std::pair<JobId, std::size_t>, std::size_t> gangs;
  for (std::size_t i = 0; i < view.worker_indices.size(); ++i) {
    const Worker& worker = *pass.workers[view.worker_indices[i]].worker;
    // Uses capacity that pending stops free before it stops more runs.
    view.candidates[i].free = view.free_after_stops[i];
    for (const auto& [key, run] : worker.runs) {
      if (run.stopping || key.task.job == ready.job->spec.id) continue;
      const auto found = jobs_.find(key.task.job);
      if (found == jobs_.end()) continue;
      const Job& job = found->second;
      const bool borrowed = IsUrgent(job);
      const bool protected_run = pass.guaranteed.count(key.task.job) > 0;
      if (borrowed && (ready.tier != kTierGuaranteed || protected_run)) continue;
      const std::size_t step = StepIndex(job, key.task);
      Victim victim;
      victim.freed = run.needs;
      victim.lost_work =
          LostWork(job, key, run, now) + SpecOf(job, step).needs.Weight() * 0.1 +
          (borrowed ? kBorrowedPenalty : 0) +
          kRepeatedPreemptionPenalty *
              job.steps[step].tasks[static_cast<std::size_t>(key.task.index)].preemptions;
      if (SpecOf(job, step).gang) {
        // All members are stopped, and a whole gang waits much longer for capacity than a single
        // task.
        victim.lost_work += SpecOf(job, step).needs.Weight() * kGangRestartSeconds;
        victim.lost_work *= SpecOf(job, step).task_count;
        const auto [it, added] = gangs.try_emplace({key.task.job, step}, view.victims.size());
        victim.handle = it->second;
        if (added) view.victims.emplace_back(worker.node, key);
      } else {
        victim.handle = view.victims.size();
        view.victims.emplace_back(worker.node, key);
      }
      view.candidates[i].victims.push_back(victim);
    }
    auto& victims = view.candidates[i].victims;
    std::sort(victims.begin(), victims.end(), [](const Victim& left, const Victim& right) {
      return left.lost_work < right.lost_work;
    });
  }
}

void SchedulerCore::Preempt(TimePoint now, Pass& pass, const PlacementView& view,
                            const std::vector<std::size_t>& victims) {
  for (const std::size_t handle : victims) {
    const auto& [node, key] = view.victims[handle];
    Worker& worker = workers_.at(node);
    Job& job = jobs_.at(key.task.job);
    const std::size_t step = StepIndex(job, key.task);
    const std::uint32_t preemptions = ++TaskOf(job, key.task).preemptions;
    ++counts_.runs_preempted;
    LogDecision(fmt::format("task={} run={} worker={} preempting the run, preemptions={}",
                            key.task.ToString(), key.run.value(), node.value(), preemptions));
    if (SpecOf(job, step).gang) {
      for (Task& member : job.steps[step].tasks) member.preemptions = preemptions;
      StopStep(now, job, step);
    } else {
      Allocation& run = worker.runs.at(key);
      RequestStop(now, worker, key, run);
    }
  }
  for (Pass::WorkerCapacity& pass_worker : pass.workers) {
    pass_worker.stopping = Resources();
    for (const auto& [key, run] : pass_worker.worker->runs) {
      if (FreesCapacitySoon(now, run)) pass_worker.stopping += run.needs;
    }
  }
}

}  // namespace basilspring::fleet
