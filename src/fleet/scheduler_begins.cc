#include <fmt/format.h>

#include <utility>

#include "basilspring/fleet/scheduler_core.h"

// Which runs, and so which jobs, are known to have begun.
namespace basilspring::fleet {
namespace {

// Jobs that begin within this time share a write, or are written with their first ends. Less than a
// change of the scheduler takes; the next one needs the record only if the runs are lost too.
constexpr Duration kBeginRecordDelay(500);

}  // namespace

SchedulerCore::RunEvidence SchedulerCore::EvidenceOf(const Allocation& run) {
  const bool accepted_before_stop =
      run.confirmed && (!run.stopping || run.working_since <= run.stopping_since);
  if (run.stop_confirmed_at) return RunEvidence::kStopped;
  if (run.first_percent) return RunEvidence::kListed;
  if (run.stopping && !accepted_before_stop) return RunEvidence::kStopped;
  return run.confirmed ? RunEvidence::kAccepted : RunEvidence::kNone;
}

void SchedulerCore::ConfirmRun(Allocation& run) {
  // Runs that an earlier scheduler has ordered are in its count.
  if (!run.confirmed && run.ordered_at) ++counts_.runs_started;
  run.confirmed = true;
}

void SchedulerCore::RecordBegin(TimePoint now, const Worker& worker, Job& job, const RunKey& key,
                                std::string_view evidence) {
  if (job.begun) return;
  StopCountingAsPending(job);
  job.begun = true;
  if (!IsFinal(job.phase)) {
    if (unrecorded_begins_.empty()) record_begins_at_ = now + kBeginRecordDelay;
    unrecorded_begins_.insert(job.spec.id);
  }
  LogDecision(
      fmt::format("job={} queue={} task={} run={} worker={} evidence={} waited_ms={} the "
                  "job has begun",
                  job.spec.id.value(), job.spec.queue.value(), key.task.ToString(), key.run.value(),
                  worker.node.value(), evidence, wall_ms_ - job.spec.accepted_unix_ms));
}

JobPhase SchedulerCore::CurrentPhase(const Job& job) {
  if (IsFinal(job.phase)) return job.phase;
  return job.begun ? JobPhase::kRunning : JobPhase::kQueued;
}

bool SchedulerCore::IsPending(const Job& job) {
  return CurrentPhase(job) == JobPhase::kQueued && job.spec.occurrences == 0;
}

void SchedulerCore::StopCountingAsPending(const Job& job) {
  if (!IsPending(job)) return;
  const auto count = pending_.find(job.spec.queue);
  if (--count->second == 0) pending_.erase(count);
}

void SchedulerCore::CollectBegunJobs(TimePoint now) {
  if (unrecorded_begins_.empty() || now < record_begins_at_) return;
  for (const JobId& id : std::exchange(unrecorded_begins_, {})) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && !IsFinal(found->second.phase)) ++found->second.version;
  }
}

}  // namespace basilspring::fleet
