#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

bool CellCore::Impl::PermitValid(Duration margin) const { return now_ + margin < permit_until_; }

bool CellCore::Impl::WantsPermit() const {
  if (handing_over_ || !ready_) return false;
  if (queue_.size() > 0 || DataCentreOut()) return true;
  // Kept up a little longer, so that the next urgent job finds a valid permit.
  return now_ - last_demand_ < internal::kKeepPermit;
}

void CellCore::Impl::RequestPermit() {
  const std::vector<Address> entries = Entries();
  if (entries.empty()) return;
  next_permit_request_ = now_ + timings_.permit_read;
  const std::uint64_t request = next_permit_++;
  permit_requests_[request] = now_;
  while (permit_requests_.size() > internal::kPermitRequests) {
    permit_requests_.erase(permit_requests_.begin());
  }
  // Two entries alternate, so that one dead entry costs every other request. Without any answer
  // for the length of a permit, the pair moves on.
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
  if (permit.out) {
    // An entry that is behind the configuration in force here doesn't know better.
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
  NoteDataCentreState();
}

void CellCore::Impl::NoteDataCentreState() {
  if (DataCentreOut() == out_since_.has_value()) return;
  if (!DataCentreOut()) {
    out_since_.reset();
    dirty_ = true;
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
  // Stopping a claimed non-idempotent job would lose its outcome; a permit concerns starts only,
  // so it may run to its end.
  if (attempt.start_sent && !jobs_.at(attempt.job).spec.idempotent) return;
  FailAttempt(
      attempt,
      {ErrorKind::kDataCentreOut, "the data centre is out of service", StopReason::kDataCentreOut},
      attempt.start_sent ? settings_.preemption_grace : Duration(0));
}

void CellCore::Impl::TickDataCentreOut() {
  // Borrowed work has had its grace by then; the rest is checkpointed and queued again.
  if (!out_since_ || now_ < *out_since_ + settings_.preemption_grace) return;
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt != nullptr && !attempt->failure) StopForDataCentre(*attempt);
  }
}

}  // namespace basilspring
