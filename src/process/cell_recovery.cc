#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace internal {

bool ReportedAttempt::fully_started() const {
  return ranks.size() == first_report.tasks &&
         std::all_of(ranks.begin(), ranks.end(), [](const auto& rank) {
           return rank.second.task.state != TaskState::kPrepared;
         });
}

bool ReportedAttempt::any_stopping() const {
  return std::any_of(ranks.begin(), ranks.end(), [](const auto& rank) {
    return rank.second.task.state == TaskState::kStopping;
  });
}

}  // namespace internal

void CellCore::Impl::OnRecordsListed(const RecordsListed& listed) {
  records_listed_ = true;
  has_predecessor_ = has_predecessor_ || !listed.jobs.empty();
  for (const JobSpec& spec : listed.jobs) {
    Job& job = jobs_[spec.id];
    if (!job.spec.id.empty()) {
      if (!job.spec_known && !job.result) {
        job.spec = spec;
        job.spec_known = true;
        placement_due_ = true;
      }
      continue;
    }
    job.spec = spec;
    job.submitted = now_;
    job.from_takeover = true;
    if (spec.deadline > Duration(0)) job.deadline = now_ + spec.deadline;
    Enqueue(job);
    if (early_cancels_.erase(spec.id) > 0) CancelNow(job);
  }
}

void CellCore::Impl::OnReportedTask(const WorkerId& worker, const Address& agent,
                                    const TaskReport& task) {
  if (Attempt* const attempt = FindAttempt(task.attempt)) {
    UpdateKnownMember(worker, agent, *attempt, task);
    return;
  }
  const auto job = jobs_.find(task.job);
  if (job != jobs_.end() && job->second.result && task.state == TaskState::kFinished) {
    const TaskDoneAck ack{task.attempt, task.rank};
    if (job->second.write_due) {
      job->second.pending_acks.emplace_back(agent, ack);
    } else {
      Send(agent, ack);
    }
    return;
  }
  ReportedAttempt& found = reported_attempts_[task.attempt];
  if (found.ranks.empty()) {
    found.first_report = task;
    found.resolve_at = now_ + timings_.rebuild_wait;
  }
  found.ranks[task.rank] = {worker, agent, task};
}

void CellCore::Impl::UpdateKnownMember(const WorkerId& worker, const Address& agent,
                                       Attempt& attempt, const TaskReport& task) {
  for (Member& member : attempt.members) {
    if (member.rank != task.rank || member.worker != worker) continue;
    member.agent = agent;
    if (task.state == TaskState::kFinished) {
      OnTaskDone(agent, TaskDoneFromReport(task));
    } else if (member.ended()) {
      // The task has already been treated as lost or ended, so it is stopped.
      SendStopTo(agent, task.attempt, task.rank);
    } else if (task.state == TaskState::kRunning) {
      OnTaskStarted({task.attempt, task.rank});
    }
    return;
  }
  SendStopTo(agent, task.attempt, task.rank);
}

TaskDone CellCore::Impl::TaskDoneFromReport(const TaskReport& task) {
  TaskDone done;
  done.attempt = task.attempt;
  done.job = task.job;
  done.rank = task.rank;
  done.error = task.error;
  // The report doesn't say whether a failed task was started, so the task is treated as started.
  done.started = true;
  done.output = task.output;
  done.ran_for = task.running_for;
  return done;
}

void CellCore::Impl::SendStopTo(const Address& agent, const AttemptId& attempt,
                                std::uint32_t rank) {
  StopTask stop;
  stop.epoch = identity_.epoch;
  stop.attempt = attempt;
  stop.rank = rank;
  stop.reason = StopReason::kGangMemberLost;
  Send(agent, stop);
}

bool CellCore::Impl::HasReportedAttempt(const JobId& job) const {
  return std::any_of(reported_attempts_.begin(), reported_attempts_.end(),
                     [&](const auto& found) { return found.second.first_report.job == job; });
}

void CellCore::Impl::OnUnknownTaskDone(const Address& from, const TaskDone& done) {
  const auto found = reported_attempts_.find(done.attempt);
  if (found != reported_attempts_.end()) {
    const auto rank = found->second.ranks.find(done.rank);
    if (rank != found->second.ranks.end()) {
      rank->second.task.state = TaskState::kFinished;
      rank->second.task.error = done.error;
      rank->second.task.output = done.output;
    }
    return;
  }
  // Until the agent has reported all its tasks, the output may still be needed.
  const bool known = std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
    return worker.second.reported && worker.second.agent == from;
  });
  if (ready_ && known) Send(from, TaskDoneAck{done.attempt, done.rank});
}

void CellCore::Impl::TickRecovery() {
  if (!ready_) {
    const TimePoint wait_over = acquired_ + timings_.rebuild_wait;
    // The store may fail between the election and the listing. Urgent jobs must not wait long for
    // it, so after two more rebuild_wait the scheduler becomes ready without the records.
    const bool listed = records_listed_ || now_ >= wait_over + timings_.rebuild_wait * 2;
    if (now_ < wait_over || !listed) return;
    ready_ = true;
    placement_due_ = true;
    ResolveReportedAttempts();
    early_cancels_.clear();
    Log(EventId::kCellReady, "cell={} epoch={} workers={} attempts={} queued={} records_listed={}",
        identity_.cell.value(), identity_.epoch.value(), workers_.size(), attempts_.size(),
        queue_.size(), records_listed_);
    next_summary_ = now_;
    return;
  }
  ResolveReportedAttempts();
  if (InventoryKnown() && !inventory_checked_) {
    inventory_checked_ = true;
    RefuseImpossibleJobs();
  }
}

void CellCore::Impl::ResolveReportedAttempts() {
  // Fully started attempts come first, so that of two attempts of a job the complete one is kept.
  for (const bool started_only : {true, false}) {
    std::vector<AttemptId> due;
    for (const auto& [id, found] : reported_attempts_) {
      if (found.fully_started() || (!started_only && now_ >= found.resolve_at)) due.push_back(id);
    }
    for (const AttemptId& id : due) {
      const ReportedAttempt found = std::move(reported_attempts_.at(id));
      reported_attempts_.erase(id);
      if (!found.ranks.empty()) AdoptAttempt(id, found);
    }
  }
}

CellCore::Impl::Job& CellCore::Impl::JobForReportedAttempt(const ReportedAttempt& found) {
  const TaskReport& task = found.first_report;
  Job& job = jobs_[task.job];
  if (!job.spec.id.empty()) return job;
  job.spec.id = task.job;
  job.spec.workspace = task.workspace;
  job.spec.job_class = task.job_class;
  job.spec.shape = task.shape;
  job.spec.idempotent = task.idempotent;
  job.spec.durable = !(task.idempotent && task.job_class == JobClass::kUrgent);
  job.spec_known = false;
  job.submitted = now_ - task.running_for;
  job.queued_at = now_;
  job.from_takeover = true;
  if (early_cancels_.erase(task.job) > 0) job.cancel_requested = true;
  return job;
}

CellCore::Impl::Attempt CellCore::Impl::BuildAttempt(const AttemptId& id,
                                                     const ReportedAttempt& found) {
  Attempt attempt;
  attempt.id = id;
  attempt.job = found.first_report.job;
  attempt.created = now_;
  attempt.started_at = now_ - found.first_report.running_for;
  for (std::uint32_t rank = 0; rank < found.first_report.tasks; ++rank) {
    Member member;
    member.rank = rank;
    member.state = MemberState::kLost;
    const auto reported = found.ranks.find(rank);
    if (reported != found.ranks.end()) {
      const TaskReport& task = reported->second.task;
      member.worker = reported->second.worker;
      member.agent = reported->second.agent;
      member.accelerators = task.accelerators;
      member.borrowed = task.borrowed;
      member.last_command = now_;
      member.started = task.state != TaskState::kPrepared;
      member.state = member.started ? MemberState::kRunning : MemberState::kPrepared;
      attempt.start_sent = attempt.start_sent || member.started;
    }
    attempt.members.push_back(std::move(member));
  }
  attempt.phase = Phase::kRunning;
  // A non-idempotent task is started only after the claim.
  attempt.claimed = attempt.start_sent;
  return attempt;
}

void CellCore::Impl::HoldResources(Attempt& attempt, const JobSpec& spec,
                                   const ReportedAttempt& found) {
  for (Member& member : attempt.members) {
    if (member.ended() || cell_.Find(member.worker) == nullptr) continue;
    if (found.ranks.at(member.rank).task.state == TaskState::kFinished) continue;
    PlacedTask task = PlacedTaskFor(member, attempt, spec);
    task.started = attempt.started_at;
    try {
      cell_.AddTask(member.worker, task);
      member.holds_resources = true;
    } catch (const Error& error) {
      // The worker's capacity was lowered below what its tasks use. The task goes on running.
      Log(EventId::kInternalError, "attempt={} rank={} worker={} cause=\"{}\"", attempt.id.value(),
          member.rank, member.worker.value(), error.what());
    }
  }
}

void CellCore::Impl::AdoptAttempt(const AttemptId& id, const ReportedAttempt& found) {
  Job& job = JobForReportedAttempt(found);
  Attempt& attempt = attempts_[id] = BuildAttempt(id, found);
  HoldResources(attempt, job.spec, found);
  queue_.AddUsage(job.spec.workspace, job.spec.shape);
  attempt.counted_in_usage = true;
  Attempt* const current = FindAttempt(job.attempt);
  const bool replaceable = current == nullptr || (!current->start_sent && !current->failure &&
                                                  !current->maybe_claimed && found.fully_started());
  // The other members of this attempt were given up before these were reported. A cancellation
  // that waits for the reported members is concluded by their attempt.
  const bool given_up = job.incomplete_attempt == id && !job.cancel_requested;
  if (job.result || job.refusal || !replaceable || given_up) {
    FailAttempt(attempt,
                {ErrorKind::kNone,
                 given_up ? "the other members were given up before"
                          : "another attempt or a result of the job exists",
                 StopReason::kGangNotStarted},
                Duration(0));
    ApplyFinishedTasks(found);
    return;
  }
  queue_.Cancel(job.spec.id);
  job.attempt = id;
  if (!job.spec.idempotent && attempt.claimed) job.claimed_attempt = id;
  job.attempts = std::max(job.attempts, 1U);
  job.state = JobState::kRunning;
  if (current != nullptr) {
    FailAttempt(
        *current,
        {ErrorKind::kNone, "an earlier attempt of the job still runs", StopReason::kGangNotStarted},
        Duration(0));
  }
  ResumeAdoptedAttempt(id, found);
}

void CellCore::Impl::ApplyFinishedTasks(const ReportedAttempt& found) {
  for (const auto& [rank, reported] : found.ranks) {
    if (reported.task.state != TaskState::kFinished) continue;
    OnTaskDone(reported.agent, TaskDoneFromReport(reported.task));
  }
}

void CellCore::Impl::ResumeAdoptedAttempt(const AttemptId& id, const ReportedAttempt& found) {
  Attempt& attempt = attempts_.at(id);
  Job& job = jobs_.at(attempt.job);
  const bool complete = found.fully_started() && !found.any_stopping();
  if (!complete) {
    job.incomplete_attempt = id;
    FailAttempt(attempt,
                {ErrorKind::kConnectionLost,
                 fmt::format("{} of {} tasks were found running after the change of scheduler",
                             found.ranks.size(), found.first_report.tasks),
                 StopReason::kGangMemberLost, attempt.start_sent},
                Duration(0));
  } else if (job.cancel_requested) {
    FailAttempt(attempt, {ErrorKind::kCancelled, "cancelled by caller", StopReason::kCancelled},
                Duration(0));
  }
  ApplyFinishedTasks(found);
  Log(EventId::kJobStarted, "job={} attempt={} tasks={} found={} recovered=true",
      found.first_report.job.value(), id.value(), found.first_report.tasks, found.ranks.size());
}

}  // namespace basilspring
