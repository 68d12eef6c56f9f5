#include "basilspring/request/worker_health.h"

#include <algorithm>
#include <utility>

namespace basilspring {

FailureVerdict WorkerHealth::OnTaskFailed(const WorkerId& worker, const JobId& job, TimePoint now) {
  FailureVerdict verdict;
  Job& record = jobs_[job];
  ++record.attempts;
  const bool was_at_fault = record.workers.size() >= settings_.workers_to_fault_job;
  record.workers.insert(worker);
  verdict.job_at_fault = record.workers.size() >= settings_.workers_to_fault_job;
  verdict.attempts_exhausted = record.attempts >= settings_.max_attempts;
  if (!verdict.job_at_fault) {
    if (RecordFailure(workers_[worker], job, now)) verdict.changed.push_back(worker);
    return verdict;
  }
  if (was_at_fault) return verdict;
  for (const WorkerId& id : record.workers) {
    const auto it = workers_.find(id);
    if (it != workers_.end() && RetractFailure(it->second, job, now)) verdict.changed.push_back(id);
  }
  return verdict;
}

// Records a failure of the job on the worker. Returns true if the worker is quarantined by it.
bool WorkerHealth::RecordFailure(Worker& worker, const JobId& job, TimePoint now) const {
  const WorkerHealthState state = StateAt(worker, now);
  // Tasks that were running when the quarantine began are no new evidence.
  if (state == WorkerHealthState::kQuarantined) return false;
  worker.failed_jobs.insert(job);
  worker.successes = 0;
  const std::uint32_t needed =
      state == WorkerHealthState::kProbation ? 1 : settings_.failures_to_quarantine;
  if (worker.failed_jobs.size() < needed) return false;
  worker.quarantine_causes = std::exchange(worker.failed_jobs, {});
  worker.min_quarantine_causes = needed;
  worker.earlier_quarantine = worker.quarantine;
  worker.quarantine = worker.quarantine == Duration()
                          ? settings_.first_quarantine
                          : std::min(worker.quarantine * 2, settings_.longest_quarantine);
  worker.quarantined_until = now + worker.quarantine;
  return true;
}

// Retracts the failures that a job at fault has caused on a worker. Returns true if that ends a
// quarantine.
bool WorkerHealth::RetractFailure(Worker& worker, const JobId& job, TimePoint now) {
  worker.failed_jobs.erase(job);
  if (worker.quarantine_causes.erase(job) == 0 ||
      worker.quarantine_causes.size() >= worker.min_quarantine_causes) {
    return false;
  }
  const bool was_quarantined = StateAt(worker, now) == WorkerHealthState::kQuarantined;
  worker.failed_jobs.merge(worker.quarantine_causes);
  worker.quarantine_causes.clear();
  worker.quarantine = worker.earlier_quarantine;
  worker.quarantined_until = std::min(worker.quarantined_until, now);
  return was_quarantined;
}

bool WorkerHealth::OnTaskSucceeded(const WorkerId& worker, TimePoint now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  Worker& record = it->second;
  const WorkerHealthState state = StateAt(record, now);
  if (state == WorkerHealthState::kQuarantined) return false;
  record.failed_jobs.clear();
  if (state == WorkerHealthState::kHealthy) return false;
  if (++record.successes < settings_.successes_to_recover) return false;
  record = Worker();
  return true;
}

WorkerHealthState WorkerHealth::StateAt(const Worker& worker, TimePoint now) {
  if (worker.quarantine == Duration()) return WorkerHealthState::kHealthy;
  return now < worker.quarantined_until ? WorkerHealthState::kQuarantined
                                        : WorkerHealthState::kProbation;
}

WorkerHealthState WorkerHealth::StateOf(const WorkerId& worker, TimePoint now) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? WorkerHealthState::kHealthy : StateAt(it->second, now);
}

bool WorkerHealth::MayTakeTask(const WorkerId& worker, std::size_t tasks_on_it,
                               TimePoint now) const {
  switch (StateOf(worker, now)) {
    case WorkerHealthState::kHealthy:
      return true;
    case WorkerHealthState::kQuarantined:
      return false;
    case WorkerHealthState::kProbation:
      return tasks_on_it == 0;
  }
  return false;
}

std::optional<TimePoint> WorkerHealth::NextQuarantineEnd(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [id, worker] : workers_) {
    if (StateAt(worker, now) != WorkerHealthState::kQuarantined) continue;
    if (!next || worker.quarantined_until < *next) next = worker.quarantined_until;
  }
  return next;
}

std::vector<WorkerId> WorkerHealth::FailedOn(const JobId& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return {};
  return {it->second.workers.begin(), it->second.workers.end()};
}

}  // namespace basilspring
