#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace internal {

bool FoundAttempt::whole() const {
  return ranks.size() == first.tasks &&
         std::all_of(ranks.begin(), ranks.end(), [](const auto& rank) {
           return rank.second.task.state != TaskState::kPrepared;
         });
}

bool FoundAttempt::stopping() const {
  return std::any_of(ranks.begin(), ranks.end(), [](const auto& rank) {
    return rank.second.task.state == TaskState::kStopping;
  });
}

}  // namespace internal

void CellCore::Impl::OnRecords(const RecordsListed& listed) {
  records_listed_ = true;
  predecessor_ = predecessor_ || !listed.jobs.empty();
  for (const JobSpec& spec : listed.jobs) {
    Job& job = jobs_[spec.id];
    if (!job.spec.id.empty()) {
      if (!job.spec_known && !job.result) {
        job.spec = spec;
        job.spec_known = true;
        dirty_ = true;
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
      job->second.acks.emplace_back(agent, ack);
    } else {
      Send(agent, ack);
    }
    return;
  }
  FoundAttempt& found = found_[task.attempt];
  if (found.ranks.empty()) {
    found.first = task;
    found.decide_at = now_ + timings_.rebuild_wait;
  }
  found.ranks[task.rank] = {worker, agent, task};
}

void CellCore::Impl::UpdateKnownMember(const WorkerId& worker, const Address& agent,
                                       Attempt& attempt, const TaskReport& task) {
  for (Member& member : attempt.members) {
    if (member.rank != task.rank || member.worker != worker) continue;
    member.agent = agent;
    if (task.state == TaskState::kFinished) {
      OnTaskDone(agent, DoneFromReport(task));
    } else if (member.over()) {
      // It counted as lost; the gang goes on without it or has ended.
      SendStopTo(agent, task.attempt, task.rank);
    } else if (task.state == TaskState::kRunning) {
      OnTaskStarted({task.attempt, task.rank});
    }
    return;
  }
  SendStopTo(agent, task.attempt, task.rank);
}

TaskDone CellCore::Impl::DoneFromReport(const TaskReport& task) {
  TaskDone done;
  done.attempt = task.attempt;
  done.job = task.job;
  done.rank = task.rank;
  done.error = task.error;
  // The report doesn't say whether a failed task was started, so it counts as started.
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

bool CellCore::Impl::HasFoundAttempt(const JobId& job) const {
  return std::any_of(found_.begin(), found_.end(),
                     [&](const auto& found) { return found.second.first.job == job; });
}

void CellCore::Impl::OnUnknownTaskDone(const Address& from, const TaskDone& done) {
  const auto found = found_.find(done.attempt);
  if (found != found_.end()) {
    const auto rank = found->second.ranks.find(done.rank);
    if (rank != found->second.ranks.end()) {
      rank->second.task.state = TaskState::kFinished;
      rank->second.task.error = done.error;
      rank->second.task.output = done.output;
    }
    return;
  }
  // Until the agent has reported, it is not known whether the output is still wanted.
  const bool known = std::any_of(workers_.begin(), workers_.end(), [&](const auto& worker) {
    return worker.second.reported && worker.second.agent == from;
  });
  if (ready_ && known) Send(from, TaskDoneAck{done.attempt, done.rank});
}

void CellCore::Impl::TickRecovery() {
  if (!ready_) {
    const TimePoint wait_over = acquired_ + timings_.rebuild_wait;
    // The store may fail between the election and the listing; urgent jobs don't wait for it long.
    const bool listed = records_listed_ || now_ >= wait_over + timings_.rebuild_wait * 2;
    if (now_ < wait_over || !listed) return;
    ready_ = true;
    dirty_ = true;
    DecideFound();
    early_cancels_.clear();
    Log(EventId::kCellReady, "cell={} epoch={} workers={} attempts={} queued={} records_listed={}",
        identity_.cell.value(), identity_.epoch.value(), workers_.size(), attempts_.size(),
        queue_.size(), records_listed_);
    next_summary_ = now_;
    return;
  }
  DecideFound();
  if (InventoryKnown() && !inventory_checked_) {
    inventory_checked_ = true;
    RefuseImpossibleJobs();
  }
}

void CellCore::Impl::DecideFound() {
  // Whole running attempts first, so that of two attempts of a job the whole one is kept.
  for (const bool whole_only : {true, false}) {
    std::vector<AttemptId> due;
    for (const auto& [id, found] : found_) {
      if (found.whole() || (!whole_only && now_ >= found.decide_at)) due.push_back(id);
    }
    for (const AttemptId& id : due) {
      const FoundAttempt found = std::move(found_.at(id));
      found_.erase(id);
      if (!found.ranks.empty()) Adopt(id, found);
    }
  }
}

CellCore::Impl::Job& CellCore::Impl::JobOfFound(const FoundAttempt& found) {
  const TaskReport& task = found.first;
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
  if (early_cancels_.erase(task.job) > 0) job.cancel = true;
  return job;
}

CellCore::Impl::Attempt CellCore::Impl::BuildAttempt(const AttemptId& id,
                                                     const FoundAttempt& found) {
  Attempt attempt;
  attempt.id = id;
  attempt.job = found.first.job;
  attempt.created = now_;
  attempt.started_at = now_ - found.first.running_for;
  for (std::uint32_t rank = 0; rank < found.first.tasks; ++rank) {
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
  // A task runs only after the claim.
  attempt.claimed = attempt.start_sent;
  return attempt;
}

void CellCore::Impl::HoldResources(Attempt& attempt, const JobSpec& spec,
                                   const FoundAttempt& found) {
  for (Member& member : attempt.members) {
    if (member.over() || cell_.Find(member.worker) == nullptr) continue;
    if (found.ranks.at(member.rank).task.state == TaskState::kFinished) continue;
    PlacedTask task = TaskOf(member, attempt, spec);
    task.started = attempt.started_at;
    try {
      cell_.AddTask(member.worker, task);
      member.holds = true;
    } catch (const Error& error) {
      // The worker's capacity was lowered below what runs there; the task runs on all the same.
      Log(EventId::kInternalError, "attempt={} rank={} worker={} cause=\"{}\"", attempt.id.value(),
          member.rank, member.worker.value(), error.what());
    }
  }
}

void CellCore::Impl::Adopt(const AttemptId& id, const FoundAttempt& found) {
  Job& job = JobOfFound(found);
  Attempt& attempt = attempts_[id] = BuildAttempt(id, found);
  HoldResources(attempt, job.spec, found);
  queue_.AddUsage(job.spec.workspace, job.spec.shape);
  attempt.holds_share = true;
  Attempt* const current = FindAttempt(job.attempt);
  const bool replaceable = current == nullptr || (!current->start_sent && !current->failure &&
                                                  !current->maybe_claimed && found.whole());
  if (job.result || job.refusal || !replaceable) {
    FailAttempt(attempt,
                {ErrorKind::kNone, "another attempt or a result of the job exists",
                 StopReason::kGangNotStarted},
                Duration(0));
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
  ResumeAdopted(id, found);
}

void CellCore::Impl::ResumeAdopted(const AttemptId& id, const FoundAttempt& found) {
  Attempt& attempt = attempts_.at(id);
  Job& job = jobs_.at(attempt.job);
  const bool complete = found.whole() && !found.stopping();
  if (!complete) {
    FailAttempt(attempt,
                {ErrorKind::kConnectionLost,
                 fmt::format("{} of {} tasks were found running after the change of scheduler",
                             found.ranks.size(), found.first.tasks),
                 StopReason::kGangMemberLost, attempt.start_sent},
                Duration(0));
  } else if (job.cancel) {
    FailAttempt(attempt, {ErrorKind::kCancelled, "cancelled by caller", StopReason::kCancelled},
                Duration(0));
  }
  for (const auto& [rank, reported] : found.ranks) {
    if (reported.task.state != TaskState::kFinished) continue;
    OnTaskDone(reported.agent, DoneFromReport(reported.task));
  }
  Log(EventId::kJobStarted, "job={} attempt={} tasks={} found={} recovered=true",
      found.first.job.value(), id.value(), found.first.tasks, found.ranks.size());
}

}  // namespace basilspring
