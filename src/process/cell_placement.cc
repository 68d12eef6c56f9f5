#include <algorithm>
#include <tuple>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace {

// Jobs that are alike for placement: when one finds no room, the others don't either.
using Likeness = std::tuple<WorkspaceId, JobClass, GangShape>;

}  // namespace

void CellCore::Impl::PlacePass() {
  dirty_ = false;
  if (!ready_ || handing_over_ || DataCentreOut()) return;
  BindFreedRoom();
  std::set<Likeness> without_room;
  for (const JobId& id : queue_.Order(internal::kJobsPerPass)) {
    Job& job = jobs_.at(id);
    if (!MayPlace(job)) continue;
    const Likeness likeness{job.spec.workspace, job.spec.job_class, job.spec.shape};
    if (without_room.contains(likeness)) continue;
    if (!TryPlace(job)) without_room.insert(likeness);
  }
  if (WantsPermit() && now_ >= next_permit_request_) RequestPermit();
}

bool CellCore::Impl::MayPlace(const Job& job) const {
  return job.spec_known && !job.cancel && !job.refusal && now_ >= job.not_before &&
         !HasFoundAttempt(job.spec.id);
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

PlacementInput CellCore::Impl::InputFor(const Job& job) const {
  PlacementInput input;
  input.cell = &cell_;
  input.job = &job.spec;
  input.now = now_;
  input.policy = identity_.policy;
  input.avoid = job.avoid;
  // Room that is being freed for another gang stays for that gang.
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.phase != Phase::kMakingRoom) continue;
    for (const Member& member : attempt.members) input.reserved.push_back(member.worker);
  }
  input.may_preempt =
      identity_.policy == PlacementPolicy::kGuarantees &&
      (job.spec.job_class == JobClass::kUrgent || guaranteed_.contains(job.spec.workspace));
  return input;
}

bool CellCore::Impl::TryPlace(Job& job) {
  PlacementResult result;
  if (OverQuota(job)) {
    result = NotPlaced{ErrorKind::kQuotaExceeded,
                       "the accelerators of the workspace's quota are in use"};
  } else {
    result = PlaceGang(InputFor(job));
  }
  if (auto* const placed = std::get_if<Placed>(&result)) {
    BeginAttempt(job, std::move(*placed));
    return true;
  }
  auto& refused = std::get<NotPlaced>(result);
  ++counters_.not_placed;
  // A waiting job is tried again on each change; the log shows it when the reason changes.
  if (refused.reason != job.last_reason) {
    Log(EventId::kJobNotPlaced,
        "job={} workspace={} class={} tasks={} accelerators={} error={} "
        "waiting_ms={} reason=\"{}\"",
        job.spec.id.value(), job.spec.workspace.value(), JobClassName(job.spec.job_class),
        job.spec.shape.tasks, job.spec.shape.accelerators.value(), ErrorInfo(refused.kind).name,
        (now_ - job.submitted).milliseconds(), refused.reason);
  }
  job.last_reason = std::move(refused.reason);
  job.reasons = std::move(refused.candidates);
  return false;
}

void CellCore::Impl::BeginAttempt(Job& job, Placed placed) {
  Attempt attempt;
  attempt.id = AttemptId(
      fmt::format("{}#{}.{}", job.spec.id.value(), identity_.epoch.value(), next_attempt_++));
  attempt.job = job.spec.id;
  attempt.created = now_;
  std::string where;
  for (const TaskPlacement& task : placed.tasks) {
    Member member;
    member.rank = task.rank;
    member.worker = task.worker;
    member.agent = workers_.at(task.worker).agent;
    member.accelerators = task.accelerators;
    member.borrowed = task.borrowed;
    attempt.members.push_back(std::move(member));
    fmt::format_to(std::back_inserter(where), "{}{}:{:#x}{}", where.empty() ? "" : ",",
                   task.worker.value(), task.accelerators, task.borrowed ? ":borrowed" : "");
  }
  ++counters_.placed;
  Log(EventId::kJobPlaced,
      "job={} attempt={} workspace={} class={} workers={} score={:.3f} victims={} waited_ms={} "
      "reason=\"{}\"",
      job.spec.id.value(), attempt.id.value(), job.spec.workspace.value(),
      JobClassName(job.spec.job_class), where, placed.score, placed.victims.size(),
      (now_ - job.queued_at).milliseconds(), placed.reason);
  job.last_reason = placed.reason;
  job.reasons.clear();
  queue_.Remove(job.spec.id, job.spec.job_class, job.submitted);
  job.state = JobState::kPreparing;
  job.attempt = attempt.id;
  for (const Victim& victim : placed.victims) attempt.victims.insert(victim.attempt);
  Attempt& added = attempts_[attempt.id] = std::move(attempt);
  if (added.victims.empty()) {
    Reserve(added, job);
    return;
  }
  added.phase = Phase::kMakingRoom;
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

void CellCore::Impl::BindFreedRoom() {
  for (const AttemptId& id : AttemptIds()) {
    Attempt* const attempt = FindAttempt(id);
    if (attempt == nullptr || attempt->phase != Phase::kMakingRoom) continue;
    std::erase_if(attempt->victims,
                  [this](const AttemptId& victim) { return !attempts_.contains(victim); });
    if (attempt->victims.empty()) Reserve(*attempt, jobs_.at(attempt->job));
  }
}

void CellCore::Impl::Reserve(Attempt& attempt, Job& job) {
  try {
    for (Member& member : attempt.members) {
      cell_.AddTask(member.worker, TaskOf(member, attempt, job.spec));
      member.holds = true;
    }
  } catch (const Error& error) {
    FailAttempt(attempt, {error.kind(), error.what(), StopReason::kGangNotStarted}, Duration(0));
    return;
  }
  attempt.phase = Phase::kPreparing;
  attempt.created = now_;
  last_demand_ = now_;
  for (Member& member : attempt.members) {
    member.state = MemberState::kPreparing;
    member.last_command = now_;
    Prepare prepare;
    prepare.epoch = identity_.epoch;
    prepare.attempt = attempt.id;
    prepare.job = attempt.job;
    prepare.rank = member.rank;
    prepare.tasks = job.spec.shape.tasks;
    prepare.workspace = job.spec.workspace;
    prepare.job_class = job.spec.job_class;
    prepare.shape = job.spec.shape;
    prepare.accelerators = member.accelerators;
    prepare.borrowed = member.borrowed;
    prepare.idempotent = job.spec.idempotent;
    prepare.reserve_for = timings_.reservation;
    Send(member.agent, std::move(prepare));
  }
}

PlacedTask CellCore::Impl::TaskOf(const Member& member, const Attempt& attempt,
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
