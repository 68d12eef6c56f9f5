#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace {

std::size_t ResultBytes(const JobResult& result) {
  std::size_t bytes = result.message.size();
  for (const std::string& output : result.answer.outputs) bytes += output.size();
  return bytes;
}

JobState FinalState(ErrorKind error) {
  switch (error) {
    case ErrorKind::kNone:
      return JobState::kDone;
    case ErrorKind::kCancelled:
    case ErrorKind::kCancelledRunning:
      return JobState::kCancelled;
    case ErrorKind::kOutcomeUnknown:
      return JobState::kUnknown;
    default:
      return JobState::kFailed;
  }
}

// Replaces an error kind that means "not run" by one that is correct for a job of which a task has
// or may have run.
ErrorKind KindAfterRun(ErrorKind kind) {
  if (ErrorInfo(kind).outcome != RunOutcome::kNotRun) return kind;
  return kind == ErrorKind::kCancelled ? ErrorKind::kCancelledRunning
                                       : ErrorKind::kAttemptsExhausted;
}

}  // namespace

void CellCore::Impl::RefuseJob(Job& job, ErrorKind error, const std::string& message) {
  queue_.Cancel(job.spec.id);
  JobResult result{error, message};
  if (ErrorInfo(error).retryable) result.retry_after = RetryAfter(job.spec.job_class);
  if (job.spec.idempotent) {
    if (MayHaveRun(job)) result.error = KindAfterRun(error);
    FinishJob(job, std::move(result));
    return;
  }
  job.refusal = std::move(result);
  job.state = JobState::kStopping;
  SendFence(job);
}

void CellCore::Impl::SendFence(Job& job) {
  job.fence_in_flight = true;
  unwritten_jobs_.insert(job.spec.id);
  output_->operations.emplace_back(
      FenceRequest{job.spec.id, job.spec.workspace, job.spec.request_key});
}

void CellCore::Impl::OnFenceReply(const FenceReply& reply) {
  const auto found = jobs_.find(reply.job);
  if (found == jobs_.end() || !found->second.fence_in_flight) return;
  Job& job = found->second;
  job.fence_in_flight = false;
  if (reply.outcome == StoreOutcome::kDone) {
    FinishJob(job, *job.refusal);
  } else if (reply.outcome == StoreOutcome::kRefused) {
    FinishJob(job, {ErrorKind::kOutcomeUnknown, "an earlier attempt had claimed the request"});
  } else {
    // The refusal says "not run", which is certain only once the record is fenced, so it is held
    // back until the store answers.
    job.write_after = now_ + internal::kStoreRetryDelay;
  }
}

void CellCore::Impl::FinishJob(Job& job, JobResult result) {
  queue_.Cancel(job.spec.id);
  job.refusal.reset();
  job.state = FinalState(result.error);
  job.attempt = AttemptId();
  job.finished_at = now_;
  job.result = std::move(result);
  job.spec.payload.clear();
  health_.ForgetJob(job.spec.id);
  finished_jobs_.push_back(job.spec.id);
  finished_bytes_ += ResultBytes(*job.result);
  ++counters_.finished[{job.spec.job_class, job.result->error}];
  Log(EventId::kJobFinished, "job={} workspace={} class={} outcome={} attempts={} total_ms={} {}",
      job.spec.id.value(), job.spec.workspace.value(), JobClassName(job.spec.job_class),
      ErrorInfo(job.result->error).name, job.attempts, (now_ - job.submitted).milliseconds(),
      job.result->message);
  if (job.spec.durable) {
    WriteResult(job);
  } else {
    unwritten_jobs_.erase(job.spec.id);
    Deliver(job);
    SendAcks(job);
  }
}

void CellCore::Impl::WriteResult(Job& job) {
  job.write_due = true;
  job.write_in_flight = true;
  unwritten_jobs_.insert(job.spec.id);
  output_->operations.emplace_back(ResultWrite{job.spec.id, *job.result, job.spec.idempotent,
                                               job.spec.workspace, job.spec.request_key,
                                               job.claimed_attempt});
}

void CellCore::Impl::OnResultReply(const ResultReply& reply) {
  const auto found = jobs_.find(reply.job);
  if (found == jobs_.end() || !found->second.write_in_flight) return;
  Job& job = found->second;
  job.write_in_flight = false;
  if (reply.outcome == StoreOutcome::kDone || reply.outcome == StoreOutcome::kRefused) {
    // An earlier scheduler finished the job, and the answer that it stored is authoritative.
    if (reply.stored) ReplaceResult(job, *reply.stored);
    job.write_due = false;
    unwritten_jobs_.erase(job.spec.id);
    if (!job.delivered) Deliver(job);
    SendAcks(job);
    return;
  }
  job.write_after = now_ + internal::kStoreRetryDelay;
  // As long as the job record exists, a later scheduler may still run the job, so a result that
  // says "not run" is not delivered yet.
  if (!job.delivered && ErrorInfo(job.result->error).outcome != RunOutcome::kNotRun) Deliver(job);
}

void CellCore::Impl::ReplaceResult(Job& job, const JobResult& stored) {
  Log(EventId::kJobFinished, "job={} outcome={} replaces={} source=store", job.spec.id.value(),
      ErrorInfo(stored.error).name, ErrorInfo(job.result->error).name);
  finished_bytes_ -= ResultBytes(*job.result);
  job.result = stored;
  job.state = FinalState(stored.error);
  finished_bytes_ += ResultBytes(stored);
}

void CellCore::Impl::RetryStoreWrites() {
  for (const JobId& id : std::vector<JobId>(unwritten_jobs_.begin(), unwritten_jobs_.end())) {
    Job& job = jobs_.at(id);
    if (job.fence_in_flight || job.write_in_flight || now_ < job.write_after) continue;
    if (job.refusal) {
      SendFence(job);
    } else if (job.write_due) {
      WriteResult(job);
    }
  }
}

void CellCore::Impl::Deliver(Job& job) {
  if (job.entry.empty()) return;
  Send(job.entry, JobFinished{job.spec.id, *job.result, job.attempts});
  job.delivered = true;
}

void CellCore::Impl::SendAcks(Job& job) {
  for (const auto& [agent, ack] : job.pending_acks) Send(agent, ack);
  job.pending_acks.clear();
}

void CellCore::Impl::ForgetJob(const JobId& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  if (found->second.result) finished_bytes_ -= ResultBytes(*found->second.result);
  finished_jobs_.erase(std::remove(finished_jobs_.begin(), finished_jobs_.end(), id),
                       finished_jobs_.end());
  unwritten_jobs_.erase(id);
  jobs_.erase(found);
}

void CellCore::Impl::DropOldResults() {
  const std::deque<JobId> finished = finished_jobs_;
  for (const JobId& id : finished) {
    const Job& job = jobs_.at(id);
    const bool over_bounds = finished_jobs_.size() > internal::kMaxRetainedResults ||
                             finished_bytes_ > internal::kMaxRetainedResultBytes;
    if (!over_bounds && now_ - job.finished_at < internal::kResultRetention) return;
    // A result that is not in the store yet is kept, since this is its only copy.
    if (!job.write_due) ForgetJob(id);
  }
}

}  // namespace basilspring
