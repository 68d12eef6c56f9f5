#include "basilspring/request/worker_health.h"

#include <algorithm>
#include <utility>

namespace basilspring {

FailureVerdict WorkerHealth::OnTaskFailed(const WorkerId& worker, const JobId& job, TimePoint now) {
  FailureVerdict verdict;
  Job& record = jobs_[job];
  ++record.attempts;
  const bool blamed_before = record.workers.size() >= settings_.workers_to_blame_job;
  record.workers.insert(worker);
  verdict.job_at_fault = record.workers.size() >= settings_.workers_to_blame_job;
  verdict.attempts_exhausted = record.attempts >= settings_.max_attempts;
  if (!verdict.job_at_fault) {
    if (CountFailure(workers_[worker], job, now)) verdict.changed.push_back(worker);
    return verdict;
  }
  if (blamed_before) return verdict;
  for (const WorkerId& id : record.workers) {
    const auto it = workers_.find(id);
    if (it != workers_.end() && TakeBack(it->second, job, now)) verdict.changed.push_back(id);
  }
  return verdict;
}

// Returns true when the worker goes into quarantine.
bool WorkerHealth::CountFailure(Worker& worker, const JobId& job, TimePoint now) const {
  const WorkerTrust trust = TrustOf(worker, now);
  // Tasks that were running when the quarantine began say nothing new.
  if (trust == WorkerTrust::kQuarantined) return false;
  worker.failed_jobs.insert(job);
  worker.successes = 0;
  const std::uint32_t needed =
      trust == WorkerTrust::kProbation ? 1 : settings_.failures_to_quarantine;
  if (worker.failed_jobs.size() < needed) return false;
  worker.causes = std::exchange(worker.failed_jobs, {});
  worker.causes_needed = needed;
  worker.earlier_quarantine = worker.quarantine;
  worker.quarantine = worker.quarantine == Duration()
                          ? settings_.first_quarantine
                          : std::min(worker.quarantine * 2, settings_.longest_quarantine);
  worker.quarantined_until = now + worker.quarantine;
  return true;
}

// Takes back what a job that is itself at fault counted against a worker. Returns true when that
// ends a quarantine.
bool WorkerHealth::TakeBack(Worker& worker, const JobId& job, TimePoint now) {
  worker.failed_jobs.erase(job);
  if (worker.causes.erase(job) == 0 || worker.causes.size() >= worker.causes_needed) return false;
  const bool was_quarantined = TrustOf(worker, now) == WorkerTrust::kQuarantined;
  worker.failed_jobs.merge(worker.causes);
  worker.causes.clear();
  worker.quarantine = worker.earlier_quarantine;
  worker.quarantined_until = std::min(worker.quarantined_until, now);
  return was_quarantined;
}

bool WorkerHealth::OnTaskSucceeded(const WorkerId& worker, TimePoint now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  Worker& record = it->second;
  const WorkerTrust trust = TrustOf(record, now);
  if (trust == WorkerTrust::kQuarantined) return false;
  record.failed_jobs.clear();
  if (trust == WorkerTrust::kHealthy) return false;
  if (++record.successes < settings_.successes_to_trust) return false;
  record = Worker();
  return true;
}

WorkerTrust WorkerHealth::TrustOf(const Worker& worker, TimePoint now) {
  if (worker.quarantine == Duration()) return WorkerTrust::kHealthy;
  return now < worker.quarantined_until ? WorkerTrust::kQuarantined : WorkerTrust::kProbation;
}

WorkerTrust WorkerHealth::Trust(const WorkerId& worker, TimePoint now) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? WorkerTrust::kHealthy : TrustOf(it->second, now);
}

bool WorkerHealth::MayTakeTask(const WorkerId& worker, std::size_t tasks_on_it,
                               TimePoint now) const {
  switch (Trust(worker, now)) {
    case WorkerTrust::kHealthy:
      return true;
    case WorkerTrust::kQuarantined:
      return false;
    case WorkerTrust::kProbation:
      return tasks_on_it == 0;
  }
  return false;
}

std::optional<TimePoint> WorkerHealth::NextChange(TimePoint now) const {
  std::optional<TimePoint> next;
  for (const auto& [id, worker] : workers_) {
    if (TrustOf(worker, now) != WorkerTrust::kQuarantined) continue;
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
