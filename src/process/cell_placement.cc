#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::OnCapacityChange() {
  unplaceable_.clear();
  placement_due_ = true;
}

void CellCore::Impl::RunPlacementPass() {
  placement_due_ = false;
  if (!ready_ || handing_over_ || DataCentreOut()) return;
  UpdateTrust();
  ReserveFreedCapacity();
  UpdateReservation();
  // The job with the reservation goes first: jobs with the same placement key that precede it in
  // the queue may not use the reserved capacity, so their failure doesn't apply to it.
  if (reservation_) {
    Job& job = jobs_.at(reservation_->job);
    if (MayPlace(job)) TryPlace(job);
  }
  std::size_t failures = 0;
  for (const JobId& id : queue_.NextJobs(now_, internal::kMaxJobsPerPass)) {
    Job& job = jobs_.at(id);
    if (!MayPlace(job) || (reservation_ && reservation_->job == id)) continue;
    const internal::PlacementKey key{job.spec.workspace, job.spec.job_class, job.spec.shape};
    if (unplaceable_.contains(key) || TryPlace(job)) continue;
    queue_.MarkPassedOver(id, now_);
    unplaceable_.insert(key);
    if (++failures == internal::kMaxFailedPlacementsPerPass) break;
  }
  if (NeedsPermit() && now_ >= next_permit_request_) RequestPermit();
}

void CellCore::Impl::UpdateReservation() {
  const QueueItem* const due =
      identity_.policy == PlacementPolicy::kGuarantees ? queue_.DueForReservation(now_) : nullptr;
  if (due == nullptr) {
    reservation_.reset();
    return;
  }
  const auto expected_end = [this](const PlacedTask& task) {
    const auto job = jobs_.find(task.job);
    const Duration declared = job == jobs_.end() ? Duration() : job->second.spec.declared_run_time;
    return task.started + run_times_.Correct(task.workspace, task.job_class, declared);
  };
  const bool unchanged = reservation_ && reservation_->job == due->id;
  reservation_ = ReserveCapacity(cell_, due->id, due->shape, now_, expected_end);
  if (!reservation_ || unchanged) return;
  std::string workers;
  for (const WorkerId& worker : reservation_->workers) {
    workers += (workers.empty() ? "" : ",") + worker.value();
  }
  Log(EventId::kRoomReserved, "job={} workers={} start_in_ms={} waited_ms={}", due->id.value(),
      workers, (reservation_->start - now_).milliseconds(), (now_ - due->submitted).milliseconds());
}

bool CellCore::Impl::MayPlace(const Job& job) const {
  // A job that must leave the cell is returned in the next scan.
  return job.spec_known && !job.cancel_requested && !job.refusal && now_ >= job.not_before &&
         !MustLeaveCell(job) && !HasReportedAttempt(job.spec.id);
}

std::uint64_t CellCore::Impl::AcceleratorsInUse(const WorkspaceId& workspace) const {
  std::uint64_t used = 0;
  for (const auto& [id, worker] : cell_.workers()) {
    for (const PlacedTask& task : worker.tasks) {
      if (task.workspace == workspace) used += task.shape.accelerators.value();
    }
  }
  return used;
}

bool CellCore::Impl::OverQuota(const Job& job) const {
  const std::int64_t quota = WorkspaceNumber("quota.accelerators", job.spec.workspace);
  const std::uint64_t needed =
      std::uint64_t{job.spec.shape.tasks} * std::uint64_t{job.spec.shape.accelerators.value()};
  if (needed == 0) return false;
  return AcceleratorsInUse(job.spec.workspace) + needed > static_cast<std::uint64_t>(quota);
}

PlacementInput CellCore::Impl::PlacementInputFor(const Job& job) const {
  PlacementInput input;
  input.cell = &cell_;
  input.job = &job.spec;
  input.now = now_;
  input.policy = identity_.policy;
  input.avoid = job.avoided_workers;
  // Capacity that is being freed for another gang is reserved for that gang.
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.phase != Phase::kAwaitingPreemption) continue;
    for (const Member& member : attempt.members) input.reserved.push_back(member.worker);
  }
  const JobSpec& spec = job.spec;
  if (reservation_ && reservation_->job != spec.id &&
      !MayBackfill(*reservation_, now_,
                   run_times_.Correct(spec.workspace, spec.job_class, spec.declared_run_time,
                                      internal::kBackfillQuantile))) {
    input.reserved.insert(input.reserved.end(), reservation_->workers.begin(),
                          reservation_->workers.end());
  }
  input.may_preempt = identity_.policy == PlacementPolicy::kGuarantees &&
                      (job.spec.job_class == JobClass::kUrgent ||
                       guaranteed_workspaces_.contains(job.spec.workspace));
  return input;
}

bool CellCore::Impl::TryPlace(Job& job) {
  PlacementResult result;
  if (OverQuota(job)) {
    result = NotPlaced{ErrorKind::kQuotaExceeded,
                       "the accelerators of the workspace's quota are in use"};
  } else {
    result = PlaceGang(PlacementInputFor(job));
  }
  if (auto* const placed = std::get_if<Placed>(&result)) {
    BeginAttempt(job, std::move(*placed));
    return true;
  }
  auto& refused = std::get<NotPlaced>(result);
  ++counters_.not_placed;
  // A waiting job is tried again on each change of capacity, so a failure is logged only when its
  // reason differs from the last one.
  if (refused.reason != job.last_reason) {
    Log(EventId::kJobNotPlaced,
        "job={} workspace={} class={} tasks={} accelerators={} error={} "
        "waiting_ms={} reason=\"{}\"",
        job.spec.id.value(), job.spec.workspace.value(), JobClassName(job.spec.job_class),
        job.spec.shape.tasks, job.spec.shape.accelerators.value(), ErrorInfo(refused.kind).name,
        (now_ - job.submitted).milliseconds(), refused.reason);
  }
  job.last_reason = std::move(refused.reason);
  job.candidate_reasons = std::move(refused.candidates);
  return false;
}

void CellCore::Impl::BeginAttempt(Job& job, Placed placed) {
  Attempt attempt;
  attempt.id = AttemptId(fmt::format("{}#{}.{}", job.spec.id.value(), identity_.epoch.value(),
                                     next_attempt_number_++));
  attempt.job = job.spec.id;
  attempt.created = now_;
  std::string assignments;
  for (const TaskPlacement& task : placed.tasks) {
    Member member;
    member.rank = task.rank;
    member.worker = task.worker;
    member.agent = workers_.at(task.worker).agent;
    member.accelerators = task.accelerators;
    member.borrowed = task.borrowed;
    attempt.members.push_back(std::move(member));
    fmt::format_to(std::back_inserter(assignments), "{}{}:{:#x}{}", assignments.empty() ? "" : ",",
                   task.worker.value(), task.accelerators, task.borrowed ? ":borrowed" : "");
  }
  ++counters_.placed;
  Log(EventId::kJobPlaced,
      "job={} attempt={} workspace={} class={} workers={} score={:.3f} victims={} waited_ms={} "
      "reason=\"{}\"",
      job.spec.id.value(), attempt.id.value(), job.spec.workspace.value(),
      JobClassName(job.spec.job_class), assignments, placed.score, placed.victims.size(),
      (now_ - job.queued_at).milliseconds(), placed.reason);
  job.last_reason = placed.reason;
  job.candidate_reasons.clear();
  queue_.Dequeue(job.spec.id, now_);
  job.state = JobState::kPreparing;
  job.attempt = attempt.id;
  for (const Victim& victim : placed.victims) attempt.victims.insert(victim.attempt);
  Attempt& added = attempts_[attempt.id] = std::move(attempt);
  if (added.victims.empty()) {
    ReserveAndPrepare(added, job);
    return;
  }
  added.phase = Phase::kAwaitingPreemption;
  const std::set<AttemptId> victims = added.victims;
  for (const AttemptId& victim : victims) Preempt(victim, job);
}

void CellCore::Impl::Preempt(const AttemptId& victim, const Job& for_job) {
  Attempt* const attempt = FindAttempt(victim);
  if (attempt == nullptr || attempt->failure) return;
  ++counters_.preempted;
  Log(EventId::kTaskPreempted, "attempt={} for_job={} for_workspace={} grace_ms={}", victim.value(),
      for_job.spec.id.value(), for_job.spec.workspace.value(),
      settings_.preemption_grace.milliseconds());
  FailAttempt(*attempt,
              {ErrorKind::kNone, fmt::format("preempted for job {}", for_job.spec.id.value()),
               StopReason::kPreempted},
              settings_.preemption_grace);
}

void CellCore::Impl::ReserveFreedCapacity() {
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt == nullptr || attempt->phase != Phase::kAwaitingPreemption) continue;
    std::erase_if(attempt->victims,
                  [this](const AttemptId& victim) { return !attempts_.contains(victim); });
    if (attempt->victims.empty()) ReserveAndPrepare(*attempt, jobs_.at(attempt->job));
  }
}

void CellCore::Impl::ReserveAndPrepare(Attempt& attempt, Job& job) {
  try {
    for (Member& member : attempt.members) {
      cell_.AddTask(member.worker, PlacedTaskFor(member, attempt, job.spec));
      member.holds_resources = true;
    }
  } catch (const Error& error) {
    FailAttempt(attempt, {error.kind(), error.what(), StopReason::kGangNotStarted}, Duration(0));
    return;
  }
  queue_.AddUsage(job.spec.workspace, job.spec.shape);
  attempt.counted_in_usage = true;
  attempt.phase = Phase::kPreparing;
  attempt.created = now_;
  last_placement_ = now_;
  for (Member& member : attempt.members) SendPrepare(attempt, member, job.spec);
}

void CellCore::Impl::SendPrepare(const Attempt& attempt, Member& member, const JobSpec& spec) {
  member.state = MemberState::kPreparing;
  member.last_command = now_;
  Prepare prepare;
  prepare.epoch = identity_.epoch;
  prepare.attempt = attempt.id;
  prepare.job = attempt.job;
  prepare.rank = member.rank;
  prepare.tasks = spec.shape.tasks;
  prepare.workspace = spec.workspace;
  prepare.job_class = spec.job_class;
  prepare.shape = spec.shape;
  prepare.accelerators = member.accelerators;
  prepare.borrowed = member.borrowed;
  prepare.idempotent = spec.idempotent;
  prepare.reserve_for = timings_.reservation_timeout;
  Send(member.agent, std::move(prepare));
}

PlacedTask CellCore::Impl::PlacedTaskFor(const Member& member, const Attempt& attempt,
                                         const JobSpec& spec) const {
  PlacedTask task;
  task.attempt = attempt.id;
  task.job = attempt.job;
  task.rank = member.rank;
  task.workspace = spec.workspace;
  task.job_class = spec.job_class;
  task.shape = spec.shape;
  task.accelerators = member.accelerators;
  task.borrowed = member.borrowed;
  task.started = now_;
  return task;
}

}  // namespace basilspring
