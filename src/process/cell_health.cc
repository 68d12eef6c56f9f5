#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::NoteHealth(const Attempt& attempt, const Member& member) {
  if (member.error == ErrorKind::kNone) {
    health_.OnTaskSucceeded(member.worker, now_);
    return;
  }
  // Only the first failure of an attempt is the worker's own; the others follow from it.
  const bool own =
      member.error == ErrorKind::kTaskFailed || member.error == ErrorKind::kBackendUnavailable;
  if (!own || attempt.failure) return;
  const FailureVerdict verdict = health_.OnTaskFailed(member.worker, attempt.job, now_);
  if (verdict.job_at_fault) jobs_.at(attempt.job).at_fault = true;
  UpdateTrust();
}

void CellCore::Impl::UpdateTrust() {
  std::uint64_t quarantined = 0;
  for (const auto& [id, worker] : cell_.workers()) {
    const WorkerHealthState trust = health_.StateOf(id, now_);
    const bool closed = trust == WorkerHealthState::kQuarantined;
    quarantined += closed ? 1 : 0;
    cell_.SetQuarantined(id, closed);
    cell_.SetProbation(id, trust == WorkerHealthState::kProbation);
    if (closed == quarantined_.contains(id)) continue;
    if (closed) {
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
  if (!quarantined_.empty() && (!change || *change <= now_ + timings_.heartbeat)) UpdateTrust();
}

}  // namespace basilspring
