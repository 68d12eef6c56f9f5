#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <vector>

#include "fleet/scheduler_pass.h"

// Log lines and counts about steps whose turn has come and that are not started.
namespace basilspring::fleet {
namespace {

// Minimum interval between two log lines about why a step waits.
constexpr Duration kWaitLogInterval(3000);
// In the order of SchedulerCore::BlockCause.
constexpr std::array<std::string_view, 6> kBlockCauseNames = {
    "none",
    "its queue is not in the configuration",
    "agents have not listed their runs",
    "runs of an earlier start have not ended",
    "its record can't be read",
    "the store rejects its record"};

}  // namespace

SchedulerCore::BlockCause SchedulerCore::FindBlockCause(TimePoint now, const Job& job,
                                                        std::size_t step) const {
  if (job.record_fault == RecordFault::kUnreadable) return BlockCause::kRecordUnreadable;
  if (job.record_fault == RecordFault::kRejected) return BlockCause::kRecordRejected;
  if (job.queue.service.empty()) return BlockCause::kQueueUnknown;
  if (RecoveryPending(now, job.steps[step])) return BlockCause::kAgentsNotListed;
  const auto& tasks = job.steps[step].tasks;
  const bool active = std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
    return task.phase == TaskPhase::kActive;
  });
  const bool earlier_runs = std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
    return task.phase == TaskPhase::kWaiting && task.live_runs != 0;
  });
  return !active && earlier_runs ? BlockCause::kEarlierRuns : BlockCause::kNone;
}

void SchedulerCore::CheckBlocked(TimePoint now, Job& job, std::size_t index) {
  Step& step = job.steps[index];
  const BlockCause cause = FindBlockCause(now, job, index);
  if (cause == BlockCause::kNone) {
    step.blocked_since.reset();
    return;
  }
  ++counts_.steps_blocked;
  if (!step.blocked_since) step.blocked_since = now;
  const TimePoint since = std::max(step.wait_logged_at, *step.blocked_since);
  if (now - since < kWaitLogInterval) return;
  step.wait_logged_at = now;
  std::int32_t live_runs = 0;
  for (const Task& task : step.tasks) live_runs += task.live_runs;
  std::vector<std::string> agents;
  for (const NodeId& node : step.agents) agents.push_back(node.value());
  LogDecision(fmt::format(
      "job={} step={} blocked_ms={} cause=\"{}\" queue={} config={} live_runs={} agents={}",
      job.spec.id.value(), index, (now - *step.blocked_since).milliseconds(),
      kBlockCauseNames.at(static_cast<std::size_t>(cause)), job.spec.queue.value(),
      operator_state_->config.version, live_runs, fmt::join(agents, ",")));
}

void SchedulerCore::LogWaitReason(TimePoint now, const Pass& pass, const ReadyStep& ready,
                                  const PlacementView& view) {
  Step& step = ready.job->steps[ready.step];
  const TimePoint since = std::max(step.wait_logged_at, *step.ready_at);
  if (now - since < kWaitLogInterval) return;
  step.wait_logged_at = now;
  const StepSpec& spec = SpecOf(*ready.job, ready.step);
  std::int64_t largest = 0;
  std::int64_t eligible = 0;
  std::int64_t slots = 0;
  for (const Candidate& candidate : view.candidates) {
    if (!IsEligible(spec, candidate)) continue;
    ++eligible;
    largest = std::max(largest, candidate.free.accelerators);
    slots += spec.needs.CountIn(candidate.free);
  }
  LogDecision(fmt::format(
      "job={} step={} tier={} waits_ms={} tasks={} needs={}/{}/{} data_rack={} same_rack={} "
      "max_per_worker={} usable={} on_probation={} eligible={} slots={} largest_free_run={} "
      "mostly_idle={} headroom={} gangs_holding_capacity={}",
      ready.job->spec.id.value(), ready.step, ready.tier, (now - *step.ready_at).milliseconds(),
      ready.waiting.size(), spec.needs.milli_cores, spec.needs.memory_mb, spec.needs.accelerators,
      spec.data_rack, spec.same_rack, spec.max_per_worker,
      pass.index.size() - counts_.workers_on_probation, counts_.workers_on_probation, eligible,
      slots, largest, pass.idle_services.count(ready.job->queue.service) > 0,
      pass.HeadroomOf(ready.job->queue.service), pass.gangs_holding_capacity));
}

}  // namespace basilspring::fleet
