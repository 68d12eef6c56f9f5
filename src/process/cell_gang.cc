#include <algorithm>

#include "process/cell_core_internal.h"

namespace basilspring {

std::vector<AttemptId> CellCore::Impl::AttemptIds() const {
  std::vector<AttemptId> ids;
  ids.reserve(attempts_.size());
  for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  return ids;
}

CellCore::Impl::Attempt* CellCore::Impl::FindAttempt(const AttemptId& id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

CellCore::Impl::Member* CellCore::Impl::FindMember(const AttemptId& id, std::uint32_t rank,
                                                   Attempt** attempt) {
  *attempt = FindAttempt(id);
  if (*attempt == nullptr) return nullptr;
  for (Member& member : (*attempt)->members) {
    if (member.rank == rank) return &member;
  }
  return nullptr;
}

void CellCore::Impl::OnPrepared(const Prepared& prepared) {
  Attempt* attempt = nullptr;
  Member* const member = FindMember(prepared.attempt, prepared.rank, &attempt);
  if (member == nullptr || member->state != MemberState::kPreparing) return;
  if (prepared.error != ErrorKind::kNone) {
    if (prepared.error == ErrorKind::kStaleEpoch) RequestReport(member->worker);
    member->state = MemberState::kStopped;
    ReleaseMember(*attempt, *member);
    Avoid(jobs_.at(attempt->job), member->worker);
    FailAttempt(*attempt,
                {prepared.error,
                 fmt::format("worker {} refused to prepare: {}", member->worker.value(),
                             ErrorInfo(prepared.error).name),
                 StopReason::kGangNotStarted},
                Duration(0));
    return;
  }
  member->state = MemberState::kPrepared;
  member->agent_now = prepared.agent_now;
  member->reservation = prepared.reservation;
  member->prepared_at = now_;
  Advance(*attempt);
}

void CellCore::Impl::Advance(Attempt& attempt) {
  if (attempt.failure || attempt.start_sent || attempt.claim_in_flight) return;
  for (const Member& member : attempt.members) {
    if (member.state != MemberState::kPrepared) return;
  }
  if (DataCentreOut()) return;
  Job& job = jobs_.at(attempt.job);
  const bool must_claim = !job.spec.idempotent && !attempt.claimed;
  attempt.phase = Phase::kAwaitingPermit;
  // A claim can't be undone, so it is sent only if the permit will normally still be valid when it
  // completes.
  if (!PermitValid(must_claim ? timings_.permit_validity / 4 : Duration(0))) {
    if (now_ >= next_permit_request_) RequestPermit();
    return;
  }
  if (must_claim) {
    SendClaim(attempt, job);
  } else {
    SendStarts(attempt, job);
  }
}

void CellCore::Impl::SendClaim(Attempt& attempt, const Job& job) {
  attempt.phase = Phase::kClaiming;
  attempt.claim_in_flight = true;
  attempt.maybe_claimed = true;
  output_->operations.emplace_back(
      ClaimRequest{attempt.job, attempt.id, job.spec.workspace, job.spec.request_key});
}

void CellCore::Impl::OnClaimReply(const ClaimReply& reply) {
  Attempt* const attempt = FindAttempt(reply.attempt);
  if (attempt == nullptr || !attempt->claim_in_flight) return;
  attempt->claim_in_flight = false;
  attempt->claimed = reply.outcome == StoreOutcome::kDone;
  if (attempt->claimed) jobs_.at(attempt->job).claimed_attempt = attempt->id;
  attempt->maybe_claimed = attempt->claimed || reply.outcome == StoreOutcome::kUnknown;
  if (reply.outcome == StoreOutcome::kRefused) {
    jobs_.at(attempt->job).claimed_elsewhere = !reply.fenced;
    jobs_.at(attempt->job).fenced = reply.fenced;
  }
  if (attempt->failure) {
    EndIfAllTasksEnded(reply.attempt);
  } else if (attempt->claimed) {
    Advance(*attempt);
  } else {
    FailAttempt(*attempt,
                {ErrorKind::kStoreUnavailable, "the request could not be claimed in the store",
                 StopReason::kGangNotStarted},
                Duration(0));
  }
}

void CellCore::Impl::SendStarts(Attempt& attempt, Job& job) {
  std::vector<GangMember> members;
  for (const Member& member : attempt.members) {
    members.push_back({member.rank, member.worker, member.agent});
  }
  for (Member& member : attempt.members) {
    Start start;
    start.epoch = identity_.epoch;
    start.attempt = attempt.id;
    start.rank = member.rank;
    // Converts the end of the permit to the agent's clock, which showed at least agent_now when
    // Prepared arrived here.
    start.not_after = member.agent_now + (permit_until_ - member.prepared_at);
    start.members = members;
    start.payload = job.spec.payload;
    start.reservation = member.reservation;
    member.state = MemberState::kStarting;
    member.last_command = now_;
    Send(member.agent, std::move(start));
  }
  attempt.start_sent = true;
  attempt.phase = Phase::kStarting;
  attempt.started_at = now_;
  ++job.attempts;
}

void CellCore::Impl::OnTaskStarted(const TaskStarted& started) {
  Attempt* attempt = nullptr;
  Member* const member = FindMember(started.attempt, started.rank, &attempt);
  if (member == nullptr) return;
  member->started = true;
  if (member->state != MemberState::kStarting) return;
  member->state = MemberState::kRunning;
  for (const Member& other : attempt->members) {
    if (other.state != MemberState::kRunning && other.state != MemberState::kDone) return;
  }
  if (attempt->phase != Phase::kStarting) return;
  attempt->phase = Phase::kRunning;
  Job& job = jobs_.at(attempt->job);
  job.state = JobState::kRunning;
  Log(EventId::kJobStarted, "job={} attempt={} tasks={} started_ms={}", attempt->job.value(),
      attempt->id.value(), attempt->members.size(), (now_ - job.submitted).milliseconds());
  Send(job.entry, JobProgress{attempt->job, JobState::kRunning, job.attempts});
}

void CellCore::Impl::OnTaskDone(const Address& from, const TaskDone& done) {
  Attempt* attempt = nullptr;
  Member* const member = FindMember(done.attempt, done.rank, &attempt);
  if (member == nullptr) {
    OnUnknownTaskDone(from, done);
    return;
  }
  if (member->ended()) {
    if (!member->ack_due) Send(from, TaskDoneAck{done.attempt, done.rank});
    return;
  }
  member->state = MemberState::kDone;
  member->started = member->started || done.started;
  member->error = done.error;
  member->output = done.output;
  member->message = done.message;
  member->ack_due = true;
  ReleaseMember(*attempt, *member);
  RecordHealth(*attempt, *member);
  if (done.error != ErrorKind::kNone) {
    const bool counts = done.error == ErrorKind::kTaskFailed || done.started;
    if (!counts) Avoid(jobs_.at(attempt->job), member->worker);
    FailAttempt(
        *attempt,
        {done.error,
         fmt::format("task {} on worker {} failed: {}{}{}", done.rank, member->worker.value(),
                     ErrorInfo(done.error).name, done.message.empty() ? "" : ": ", done.message),
         StopReason::kGangMemberLost, counts},
        Duration(0));
    return;
  }
  EndIfAllTasksEnded(done.attempt);
}

void CellCore::Impl::OnTaskStopped(const Address& from, const TaskStopped& stopped) {
  Send(from, TaskDoneAck{stopped.attempt, stopped.rank});
  Attempt* attempt = nullptr;
  Member* const member = FindMember(stopped.attempt, stopped.rank, &attempt);
  if (member == nullptr || member->ended()) return;
  member->state = MemberState::kStopped;
  member->started = member->started || stopped.started;
  ReleaseMember(*attempt, *member);
  // No stop was requested: the agent stopped the task by itself, because its reservation or the
  // task lease expired or its backend server left.
  if (!attempt->failure) {
    FailAttempt(*attempt,
                {ErrorKind::kConnectionLost,
                 fmt::format("worker {} stopped task {}", member->worker.value(), member->rank),
                 StopReason::kGangMemberLost, stopped.started},
                Duration(0));
    return;
  }
  EndIfAllTasksEnded(stopped.attempt);
}

void CellCore::Impl::FailAttempt(Attempt& attempt, Failure failure, Duration grace) {
  const AttemptId id = attempt.id;
  if (!attempt.failure) {
    Log(EventId::kGangAborted, "job={} attempt={} started={} reason={} error={} cause=\"{}\"",
        attempt.job.value(), id.value(), attempt.start_sent, StopReasonName(failure.reason),
        ErrorInfo(failure.error).name, failure.message);
    attempt.failure = std::move(failure);
    attempt.grace = grace;
    attempt.phase = Phase::kStopping;
    const auto job = jobs_.find(attempt.job);
    if (job != jobs_.end() && job->second.attempt == id) job->second.state = JobState::kStopping;
  }
  for (Member& member : attempt.members) {
    if (member.state == MemberState::kPlanned) {
      member.state = MemberState::kStopped;
      ReleaseMember(attempt, member);
    } else if (!member.ended() && member.state != MemberState::kStopping) {
      SendStop(attempt, member);
    }
  }
  EndIfAllTasksEnded(id);
}

void CellCore::Impl::SendStop(Attempt& attempt, Member& member) {
  member.state = MemberState::kStopping;
  member.last_command = now_;
  StopTask stop;
  stop.epoch = identity_.epoch;
  stop.attempt = attempt.id;
  stop.rank = member.rank;
  stop.reason = attempt.failure->reason;
  stop.grace = attempt.grace;
  Send(member.agent, stop);
}

void CellCore::Impl::ReleaseMember(Attempt& attempt, Member& member) {
  if (!member.holds_resources) return;
  member.holds_resources = false;
  cell_.RemoveTask(member.worker, attempt.id, member.rank);
  OnCapacityChange();
}

void CellCore::Impl::Avoid(Job& job, const WorkerId& worker) {
  if (std::find(job.avoided_workers.begin(), job.avoided_workers.end(), worker) !=
      job.avoided_workers.end()) {
    return;
  }
  if (job.avoided_workers.size() >= internal::kMaxAvoidedWorkers) {
    job.avoided_workers.erase(job.avoided_workers.begin());
  }
  job.avoided_workers.push_back(worker);
}

void CellCore::Impl::TickAttempts() {
  for (const AttemptId& id : AttemptIds()) {
    if (Attempt* const attempt = FindAttempt(id)) TickAttempt(*attempt);
  }
}

void CellCore::Impl::TickAttempt(Attempt& attempt) {
  if (attempt.phase == Phase::kStopping) {
    for (Member& member : attempt.members) {
      // An agent that was restarted after the first StopTask doesn't know of it.
      if (member.state == MemberState::kStopping &&
          now_ - member.last_command >= timings_.heartbeat_interval + attempt.grace) {
        SendStop(attempt, member);
      }
    }
  } else if (attempt.phase == Phase::kStarting && now_ - attempt.started_at > timings_.task_lease) {
    FailAttempt(attempt,
                {ErrorKind::kTimeout, "not all tasks reported their start in time",
                 StopReason::kGangMemberLost, true},
                Duration(0));
  } else if ((attempt.phase == Phase::kPreparing || attempt.phase == Phase::kAwaitingPermit) &&
             now_ - attempt.created >=
                 timings_.reservation_timeout - timings_.heartbeat_interval / 4) {
    Job& job = jobs_.at(attempt.job);
    for (const Member& member : attempt.members) {
      if (member.state == MemberState::kPreparing) Avoid(job, member.worker);
    }
    FailAttempt(attempt,
                {ErrorKind::kTimeout,
                 attempt.phase == Phase::kPreparing ? "not all members prepared in time"
                                                    : "no permit to start tasks was given in time",
                 StopReason::kGangNotStarted},
                Duration(0));
  }
}

}  // namespace basilspring
