#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

void CellCore::Impl::OnSubmit(const Address& from, const SubmitJob& submit) {
  const JobSpec& spec = submit.spec;
  auto known = jobs_.find(spec.id);
  if (known != jobs_.end() && known->second.result && !spec.durable &&
      ErrorInfo(known->second.result->error).retryable) {
    // A retryable refusal isn't the final answer for this job id.
    ForgetJob(spec.id);
    known = jobs_.end();
  }
  if (known != jobs_.end()) {
    AttachEntry(known->second, from, spec);
    return;
  }
  // The entry submits the job again to the successor.
  if (handing_over_) return;
  Job& job = jobs_[spec.id];
  job.spec = spec;
  job.entry = from;
  job.submitted = now_;
  if (spec.deadline > Duration(0)) job.deadline = now_ + spec.deadline;
  // Entries submit their jobs again as soon as they see a new scheduler, so a job that arrives
  // during the rebuild or within two summary intervals after it may have been run by an earlier
  // scheduler.
  job.from_takeover =
      !ready_ || now_ < acquired_ + timings_.rebuild_wait + timings_.summary_interval * 2;
  ++counters_.submitted[static_cast<std::size_t>(spec.job_class)];
  if (const std::optional<JobResult> refusal = Admit(job)) {
    Log(EventId::kJobRefused, "job={} workspace={} class={} error={} reason=\"{}\"",
        spec.id.value(), spec.workspace.value(), JobClassName(spec.job_class),
        ErrorInfo(refusal->error).name, refusal->message);
    RefuseJob(job, refusal->error, refusal->message);
    return;
  }
  job.queued_at = now_;
  placement_due_ = true;
  LogQueued(job);
  Send(from, JobAccepted{spec.id, JobState::kQueued});
  if (early_cancels_.erase(spec.id) > 0) CancelNow(job);
}

void CellCore::Impl::AttachEntry(Job& job, const Address& from, const JobSpec& spec) {
  job.entry = from;
  if (!job.spec_known) {
    job.spec = spec;
    job.spec_known = true;
    if (spec.deadline > Duration(0)) job.deadline = now_ + spec.deadline;
    placement_due_ = true;
  }
  if (job.result && !job.write_in_flight && !job.write_due) {
    job.delivered = false;
    Deliver(job);
  } else if (job.result && job.delivered) {
    // The result was delivered before its write, which is done only for results that don't say
    // "not run", so it may be sent again.
    Send(from, JobFinished{job.spec.id, *job.result, job.attempts});
  } else {
    Send(from, JobAccepted{job.spec.id, job.state});
  }
}

std::optional<JobResult> CellCore::Impl::Admit(const Job& job) {
  const JobSpec& spec = job.spec;
  const std::uint64_t needed = TotalsOf(spec.shape).accelerators;
  const std::int64_t quota = WorkspaceNumber("quota.accelerators", spec.workspace);
  if (needed > static_cast<std::uint64_t>(quota)) {
    return JobResult{ErrorKind::kQuotaExceeded,
                     fmt::format("the job needs {} accelerators; the quota of workspace {} is {}",
                                 needed, spec.workspace.value(), quota)};
  }
  std::string reason;
  if (InventoryKnown() && !CanEverFit(inventory_, spec.shape, &reason)) {
    return JobResult{ErrorKind::kNeverFits, reason};
  }
  if (!ready_ && job.from_takeover && has_predecessor_) {
    // An earlier scheduler has probably accepted the job, and an accepted job must not get lost.
    queue_.Restore(QueueItemFor(job));
    return std::nullopt;
  }
  if (const std::optional<QueueRefusal> refusal = queue_.Add(QueueItemFor(job), now_)) {
    return JobResult{refusal->kind, refusal->reason, {}, refusal->retry_after};
  }
  return std::nullopt;
}

QueueItem CellCore::Impl::QueueItemFor(const Job& job) const {
  const JobSpec& spec = job.spec;
  QueueItem item;
  item.id = spec.id;
  item.workspace = spec.workspace;
  item.job_class = spec.job_class;
  item.shape = spec.shape;
  item.run_time = run_times_.Correct(spec.workspace, spec.job_class, spec.declared_run_time);
  item.submitted = job.submitted;
  item.deadline = job.deadline;
  return item;
}

bool CellCore::Impl::InventoryKnown() const {
  // Agents look for a new scheduler after scheduler_silence_timeout, so all live agents have
  // reported by then. Earlier, a job that seems too large may fit on workers that aren't known yet.
  return ready_ &&
         now_ >= acquired_ + timings_.scheduler_silence_timeout + timings_.find_cell_interval * 2;
}

void CellCore::Impl::Enqueue(Job& job) {
  job.state = JobState::kQueued;
  job.queued_at = now_;
  job.attempt = AttemptId();
  queue_.Restore(QueueItemFor(job));
  placement_due_ = true;
  LogQueued(job);
}

void CellCore::Impl::LogQueued(const Job& job) {
  Log(EventId::kJobQueued, "job={} workspace={} class={} tasks={} accelerators={} queued={}",
      job.spec.id.value(), job.spec.workspace.value(), JobClassName(job.spec.job_class),
      job.spec.shape.tasks, job.spec.shape.accelerators.value(), queue_.Count(job.spec.job_class));
}

void CellCore::Impl::Requeue(Job& job, const std::string& reason, Duration pause) {
  ++counters_.requeued;
  job.not_before = now_ + pause;
  Log(EventId::kJobRequeued, "job={} attempts={} failures={} pause_ms={} reason=\"{}\"",
      job.spec.id.value(), job.attempts, job.failures, pause.milliseconds(), reason);
  Enqueue(job);
  Send(job.entry, JobProgress{job.spec.id, JobState::kQueued, job.attempts});
}

void CellCore::Impl::OnCancel(const Address& from, const CancelJob& cancel) {
  const auto found = jobs_.find(cancel.job);
  if (found == jobs_.end()) {
    if (!ready_ && early_cancels_.size() < internal::kMaxEarlyCancels) {
      early_cancels_.insert(cancel.job);
      return;
    }
    Send(from, JobFinished{cancel.job, JobResult{ErrorKind::kNotFound, "the job is unknown here"}});
    return;
  }
  Job& job = found->second;
  job.entry = from;
  if (job.result) {
    AttachEntry(job, from, job.spec);
    return;
  }
  CancelNow(job);
}

void CellCore::Impl::CancelNow(Job& job) {
  if (job.cancel_requested || job.refusal || job.result) return;
  job.cancel_requested = true;
  Attempt* const attempt = FindAttempt(job.attempt);
  if (attempt == nullptr) {
    // A reported attempt of the job may still be running, in which case "not run" would be untrue.
    if (!HasReportedAttempt(job.spec.id)) {
      RefuseJob(job, ErrorKind::kCancelled, "cancelled by caller");
    }
    return;
  }
  if (attempt->failure) return;
  FailAttempt(*attempt, {ErrorKind::kCancelled, "cancelled by caller", StopReason::kCancelled},
              Duration(0));
}

void CellCore::Impl::OnQuery(const Address& from, const QueryJob& query) {
  JobReport report;
  report.job = query.job;
  report.query = query.query;
  const auto found = jobs_.find(query.job);
  if (found != jobs_.end()) {
    const Job& job = found->second;
    // The store has no answers of jobs that aren't durable, so an entry that didn't submit such a
    // job gets its answer only from here. It is sent before the report, since an entry that did
    // submit the job would otherwise submit it again to get the answer. Queries with a number ask
    // for an explanation only.
    const bool only_copy = job.result && !job.spec.durable;
    if (only_copy && query.query == 0 && job.result->error == ErrorKind::kNone) {
      Send(from, JobFinished{query.job, *job.result, job.attempts});
    }
    report.known = true;
    report.state = job.state;
    report.attempts = job.attempts;
    if (!job.last_reason.empty()) report.reasons.push_back(job.last_reason);
    report.reasons.insert(report.reasons.end(), job.candidate_reasons.begin(),
                          job.candidate_reasons.end());
    if (const Attempt* const attempt = FindAttempt(job.attempt)) {
      for (const Member& member : attempt->members) report.workers.push_back(member.worker);
    }
  }
  Send(from, report);
}

bool CellCore::Impl::MayHaveRun(const Job& job) const {
  return job.ran || (job.from_takeover && has_predecessor_);
}

void CellCore::Impl::TickJobs() {
  RetryStoreWrites();
  std::vector<JobId> expired;
  for (const auto& [id, job] : jobs_) {
    if (job.result || job.refusal) continue;
    if (job.deadline && now_ >= *job.deadline) expired.push_back(id);
    // The job's backoff has ended since the last scan.
    if (job.state == JobState::kQueued && job.not_before > last_tick_ && job.not_before <= now_) {
      placement_due_ = true;
    }
  }
  last_tick_ = now_;
  for (const JobId& id : expired) ExpireDeadline(jobs_.at(id));
  DropOrphans();
  DropOldResults();
}

void CellCore::Impl::DropOrphans() {
  std::vector<JobId> dropped;
  for (const auto& [id, job] : jobs_) {
    const bool is_orphan = !job.spec_known && job.state == JobState::kQueued && !job.refusal;
    if (is_orphan && now_ - job.queued_at > internal::kOrphanTimeout) dropped.push_back(id);
  }
  for (const JobId& id : dropped) {
    Log(EventId::kJobRefused, "job={} reason=\"its entry did not submit it again\"", id.value());
    queue_.Cancel(id);
    ForgetJob(id);
  }
}

void CellCore::Impl::ExpireDeadline(Job& job) {
  if (Attempt* const attempt = FindAttempt(job.attempt)) {
    if (attempt->failure) return;
    FailAttempt(*attempt,
                {ErrorKind::kDeadlineExceeded, "the deadline passed", StopReason::kDeadline},
                Duration(0));
    return;
  }
  if (HasReportedAttempt(job.spec.id)) return;
  RefuseJob(job, ErrorKind::kDeadlineExceeded,
            fmt::format("the deadline passed after {} ms in the queue",
                        (now_ - job.submitted).milliseconds()));
}

void CellCore::Impl::RefuseImpossibleJobs() {
  std::vector<JobId> waiting;
  for (const auto& [id, job] : jobs_) {
    if (queue_.Find(id) != nullptr) waiting.push_back(id);
  }
  for (const JobId& id : waiting) {
    Job& job = jobs_.at(id);
    std::string reason;
    if (!job.spec_known || CanEverFit(inventory_, job.spec.shape, &reason)) continue;
    Log(EventId::kJobRefused, "job={} error=never_fits reason=\"{}\"", id.value(), reason);
    RefuseJob(job, ErrorKind::kNeverFits, reason);
  }
}

}  // namespace basilspring
