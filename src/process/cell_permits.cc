#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

bool CellCore::Impl::PermitValid(Duration margin) const { return now_ + margin < permit_until_; }

bool CellCore::Impl::NeedsPermit() const {
  if (handing_over_ || !ready_) return false;
  if (queue_.size() > 0 || DataCentreOut()) return true;
  // The permit is renewed for a while after the last placement, so that the next urgent job need
  // not wait for one.
  return now_ - last_placement_ < internal::kPermitRenewalWindow;
}

void CellCore::Impl::RequestPermit() {
  const std::vector<Address> entries = Entries();
  if (entries.empty()) return;
  next_permit_request_ = now_ + timings_.permit_refresh_interval;
  const std::uint64_t request = next_permit_id_++;
  permit_requests_[request] = now_;
  while (permit_requests_.size() > internal::kMaxPendingPermitRequests) {
    permit_requests_.erase(permit_requests_.begin());
  }
  // Requests alternate between two entries, so that one failed entry costs only every second
  // request. If neither answers for the validity of a permit, the next pair is used.
  if (now_ - std::max(permit_answered_, permit_pair_moved_) > timings_.permit_validity) {
    permit_pair_ += 2;
    permit_pair_moved_ = now_;
  }
  const std::size_t index = (permit_pair_ + request % 2) % entries.size();
  SendDatagram(entries[index], PermitRequest{identity_.data_centre, request});
}

void CellCore::Impl::OnPermit(const Permit& permit) {
  const auto sent = permit_requests_.find(permit.request);
  if (permit.data_centre != identity_.data_centre || sent == permit_requests_.end()) return;
  const TimePoint until = sent->second + permit.remaining;
  permit_requests_.erase(sent);
  if (permit.out_of_service) {
    // The answer of an entry with an older configuration than the one in force here is ignored.
    if (permit.config_revision >= revision_) SetOutByPermit(true, permit.config_revision);
    return;
  }
  if (permit.remaining <= Duration(0)) return;
  permit_answered_ = now_;
  permit_until_ = std::max(permit_until_, until);
  if (permit.config_revision >= out_revision_) SetOutByPermit(false, permit.config_revision);
  if (DataCentreOut()) return;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt != nullptr && attempt->phase == Phase::kAwaitingPermit) Advance(*attempt);
  }
}

void CellCore::Impl::SetOutByPermit(bool out, ConfigRevision revision) {
  out_revision_ = std::max(out_revision_, revision);
  out_by_permit_ = out;
  OnDataCentreStateChange();
}

void CellCore::Impl::OnDataCentreStateChange() {
  if (DataCentreOut() == out_since_.has_value()) return;
  if (!DataCentreOut()) {
    out_since_.reset();
    placement_due_ = true;
    output_->operations.emplace_back(ListRecords{});
    return;
  }
  out_since_ = now_;
  permit_until_ = now_;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt == nullptr || attempt->failure) continue;
    const bool borrowed = std::any_of(attempt->members.begin(), attempt->members.end(),
                                      [](const Member& member) { return member.borrowed; });
    if (!attempt->start_sent || borrowed) StopForDataCentre(*attempt);
  }
}

void CellCore::Impl::StopForDataCentre(Attempt& attempt) {
  // Stopping a claimed non-idempotent job would lose its outcome. It may run to its end, because a
  // permit is needed only for starts.
  if (attempt.start_sent && !jobs_.at(attempt.job).spec.idempotent) return;
  FailAttempt(
      attempt,
      {ErrorKind::kDataCentreOut, "the data centre is out of service", StopReason::kDataCentreOut},
      attempt.start_sent ? settings_.preemption_grace : Duration(0));
}

bool CellCore::Impl::CanReturn(const Job& job) const {
  // A non-idempotent job stays queued here: to return it, the request would have to be fenced, and
  // a fenced request is refused for good.
  const bool queued =
      job.state == JobState::kQueued && !job.result && !job.refusal && !job.cancel_requested;
  return queued && job.spec.idempotent && job.spec_known && !job.entry.empty() &&
         !HasReportedAttempt(job.spec.id) && attempts_.find(job.attempt) == attempts_.end();
}

void CellCore::Impl::ReturnQueuedJobs() {
  if (!ready_) return;
  std::vector<JobId> returned;
  for (const auto& [id, job] : jobs_) {
    if (CanReturn(job)) returned.push_back(id);
  }
  for (const JobId& id : returned) ReturnJob(id, "the data centre is out of service");
}

bool CellCore::Impl::MustLeaveCell(const Job& job) {
  // The records of a durable job would have to be moved in the store, and it can wait.
  return !job.spec.durable && !job.entry.empty() &&
         job.preemptions >= internal::kMaxPreemptionsBeforeReturn;
}

void CellCore::Impl::ReturnPreemptedJobs() {
  if (!ready_) return;
  std::vector<JobId> returned;
  for (const auto& [id, job] : jobs_) {
    if (MustLeaveCell(job) && CanReturn(job)) returned.push_back(id);
  }
  for (const JobId& id : returned) ReturnJob(id, "preempted too often in this cell");
}

void CellCore::Impl::ReturnJob(const JobId& id, std::string_view reason) {
  const Job& job = jobs_.at(id);
  Log(EventId::kJobRequeued, "job={} returned_to={} preemptions={} reason=\"{}\"", id.value(),
      job.entry.ToString(), job.preemptions, reason);
  Send(job.entry, JobReturned{id, job.attempts, MayHaveRun(job)});
  queue_.Cancel(id);
  ForgetJob(id);
}

void CellCore::Impl::TickDataCentreOut() {
  if (!out_since_) return;
  ReturnQueuedJobs();
  // By the end of the preemption grace, borrowed tasks have been stopped. All other tasks are then
  // stopped with the same grace, in which they can write a checkpoint, and their jobs are queued
  // again.
  if (now_ < *out_since_ + settings_.preemption_grace) return;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt != nullptr && !attempt->failure) StopForDataCentre(*attempt);
  }
}

}  // namespace basilspring
