#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {
namespace {

using internal::Attempt;
using internal::Member;
using internal::MemberState;

bool AllSucceeded(const Attempt& attempt) {
  return std::all_of(attempt.members.begin(), attempt.members.end(), [](const Member& member) {
    return member.state == MemberState::kDone && member.error == ErrorKind::kNone;
  });
}

// Whether a task has or may have run: a Start was sent, and not all agents have reported that the
// task was not started.
bool MayHaveStarted(const Attempt& attempt) {
  if (!attempt.start_sent) return false;
  return std::any_of(attempt.members.begin(), attempt.members.end(), [](const Member& member) {
    return member.started || member.state == MemberState::kLost;
  });
}

bool AnyLost(const Attempt& attempt) {
  return std::any_of(attempt.members.begin(), attempt.members.end(),
                     [](const Member& member) { return member.state == MemberState::kLost; });
}

}  // namespace

void CellCore::Impl::EndIfAllTasksEnded(const AttemptId& id) {
  Attempt* const attempt = FindAttempt(id);
  if (attempt == nullptr || attempt->claim_in_flight) return;
  for (const Member& member : attempt->members) {
    if (!member.ended()) return;
  }
  Attempt ended = std::move(*attempt);
  attempts_.erase(id);
  if (ended.counted_in_usage) {
    const JobSpec& spec = jobs_.at(ended.job).spec;
    queue_.SubtractUsage(spec.workspace, spec.shape);
  }
  // Attempts that wait for this attempt's resources reserve them in the next placement pass.
  OnCapacityChange();
  EndAttempt(ended);
}

void CellCore::Impl::EndAttempt(Attempt& attempt) {
  Job& job = jobs_.at(attempt.job);
  for (Member& member : attempt.members) {
    if (member.ack_due) {
      job.pending_acks.emplace_back(member.agent, TaskDoneAck{attempt.id, member.rank});
    }
  }
  job.ran = job.ran || MayHaveStarted(attempt);
  if (job.attempt != attempt.id) {
    // Another attempt has replaced this one as the job's current attempt.
    SendAcks(job);
    return;
  }
  job.attempt = AttemptId();
  if (AllSucceeded(attempt)) {
    CompleteJob(job, attempt);
  } else if (!job.spec.idempotent && (attempt.claimed || job.claimed_elsewhere || job.fenced)) {
    ConcludeClaimed(job, attempt);
  } else if (job.cancel_requested) {
    ConcludeCancelled(job);
  } else {
    ConcludeUnfinished(job, attempt);
  }
  // The outputs of a failed attempt are not needed by a later scheduler, so the agents may drop
  // them.
  if (!job.result) SendAcks(job);
}

void CellCore::Impl::CompleteJob(Job& job, Attempt& attempt) {
  std::sort(attempt.members.begin(), attempt.members.end(),
            [](const Member& a, const Member& b) { return a.rank < b.rank; });
  std::vector<std::string> outputs;
  std::size_t bytes = 0;
  for (Member& member : attempt.members) {
    bytes += member.output.size();
    outputs.push_back(std::move(member.output));
  }
  run_times_.Observe(job.spec.workspace, job.spec.job_class, job.spec.declared_run_time,
                     now_ - attempt.started_at);
  JobResult result;
  if (bytes > kMaxAnswerBytes) {
    result.error = ErrorKind::kTaskFailed;
    result.message =
        fmt::format("the answer has {} bytes; allowed: at most {}", bytes, kMaxAnswerBytes);
  } else {
    result.answer = MakeAnswer(std::move(outputs));
  }
  FinishJob(job, std::move(result));
}

void CellCore::Impl::ConcludeCancelled(Job& job) {
  if (job.spec.idempotent && job.ran) {
    FinishJob(job, {ErrorKind::kCancelledRunning, "cancelled by caller while it ran"});
  } else {
    // A non-idempotent job may have been claimed; the fence shows whether it was.
    RefuseJob(job, ErrorKind::kCancelled, "cancelled by caller");
  }
}

void CellCore::Impl::ConcludeClaimed(Job& job, const Attempt& attempt) {
  if (job.fenced) {
    FinishJob(job, {ErrorKind::kCancelled, "the request was withdrawn before it started"});
    return;
  }
  const bool certain = !AnyLost(attempt) && job.ran && !job.claimed_elsewhere;
  const std::string cause = attempt.failure ? attempt.failure->message : "no reason known";
  if (certain && job.cancel_requested) {
    FinishJob(job, {ErrorKind::kCancelledRunning, "cancelled by caller while it ran"});
  } else if (certain && attempt.failure && attempt.failure->error == ErrorKind::kTaskFailed) {
    FinishJob(job, {ErrorKind::kTaskFailed, cause});
  } else {
    FinishJob(job, {ErrorKind::kOutcomeUnknown,
                    fmt::format("the request was claimed and its attempt was lost: {}", cause)});
  }
}

void CellCore::Impl::ConcludeUnfinished(Job& job, const Attempt& attempt) {
  const Failure failure =
      attempt.failure.value_or(Failure{ErrorKind::kInternal, "the attempt ended without a result"});
  if (failure.reason == StopReason::kDeadline) {
    if (job.ran) {
      FinishJob(job, {ErrorKind::kTaskFailed, "stopped at its deadline while it ran"});
    } else {
      RefuseJob(job, failure.error, failure.message);
    }
    return;
  }
  if (failure.reason == StopReason::kPreempted) ++job.preemptions;
  if (failure.counts_toward_limit) {
    ++job.failures;
    job.refusals = 0;
  } else if (failure.reason == StopReason::kGangNotStarted || failure.error != ErrorKind::kNone) {
    ++job.refusals;
  }
  if ((job.failures >= settings_.max_attempts || job.at_fault) && job.spec.idempotent) {
    FinishJob(job,
              {ErrorKind::kAttemptsExhausted,
               fmt::format("{} attempts failed; the last one: {}", job.failures, failure.message)});
    return;
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(job.failures + job.refusals, 7);
  Duration pause = Duration(0);
  if (doublings > 0) {
    pause = std::min(internal::kMaxBackoff,
                     internal::kInitialBackoff * (std::int64_t{1} << (doublings - 1)));
  }
  Requeue(job, failure.message, pause);
}

}  // namespace basilspring
