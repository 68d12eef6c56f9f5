#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::RecordHealth(const Attempt& attempt, const Member& member) {
  if (member.error == ErrorKind::kNone) {
    health_.OnTaskSucceeded(member.worker, now_);
    return;
  }
  // Only the first failure of an attempt is attributed to its worker; later ones follow from it.
  const bool worker_at_fault =
      member.error == ErrorKind::kTaskFailed || member.error == ErrorKind::kBackendUnavailable;
  if (!worker_at_fault || attempt.failure) return;
  const FailureVerdict verdict = health_.OnTaskFailed(member.worker, attempt.job, now_);
  if (verdict.job_at_fault) jobs_.at(attempt.job).at_fault = true;
  UpdateTrust();
}

void CellCore::Impl::UpdateTrust() {
  std::uint64_t quarantined = 0;
  for (const auto& [id, worker] : cell_.workers()) {
    const WorkerHealthState trust = health_.StateOf(id, now_);
    const bool is_quarantined = trust == WorkerHealthState::kQuarantined;
    quarantined += is_quarantined ? 1 : 0;
    cell_.SetQuarantined(id, is_quarantined);
    cell_.SetProbation(id, trust == WorkerHealthState::kProbation);
    if (is_quarantined == quarantined_.contains(id)) continue;
    if (is_quarantined) {
      quarantined_.insert(id);
      Log(EventId::kWorkerQuarantined, "worker={}", id.value());
    } else {
      quarantined_.erase(id);
      Log(EventId::kWorkerReleased, "worker={} trust=probation", id.value());
    }
    rebind_due_ = true;
  }
  counters_.quarantined_workers = quarantined;
}

void CellCore::Impl::TickHealth() {
  const std::optional<TimePoint> change = health_.NextQuarantineEnd(now_);
  if (!quarantined_.empty() && (!change || *change <= now_ + timings_.heartbeat_interval)) {
    UpdateTrust();
  }
}

}  // namespace basilspring
