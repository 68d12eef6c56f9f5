#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::RequestPhase;

namespace {

// Whether another cell may accept a job that one cell refused with this error.
bool MayRetryInAnotherCell(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kOverloaded:
    case ErrorKind::kQuotaExceeded:
    case ErrorKind::kNoCapacity:
    case ErrorKind::kDataCentreOut:
    case ErrorKind::kNoScheduler:
    case ErrorKind::kShuttingDown:
    case ErrorKind::kNeverFits:
      return true;
    default:
      return false;
  }
}

JobState EndState(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kNone:
      return JobState::kDone;
    case ErrorKind::kCancelled:
    case ErrorKind::kCancelledRunning:
      return JobState::kCancelled;
    default:
      return ErrorInfo(kind).outcome == RunOutcome::kUnknown ? JobState::kUnknown
                                                             : JobState::kFailed;
  }
}

std::size_t AnswerBytes(const JobResult& result) {
  std::size_t bytes = 0;
  for (const std::string& output : result.answer.outputs) bytes += output.size();
  return bytes;
}

}  // namespace

void EntryCore::Impl::HandleRefusal(EntryRequest& request, JobResult result) {
  if (ErrorInfo(result.error).outcome == RunOutcome::kNotRun) {
    if (TryAnotherCell(request, result.error)) {
      // The refusal is kept in case the records can't be moved.
      if (request.phase == RequestPhase::kMoving) request.result = std::move(result);
      return;
    }
    return CleanUpAndFinish(request, std::move(result));
  }
  if (result.error == ErrorKind::kOutcomeUnknown && request.spec.durable) {
    // The scheduler may have lost an answer that is stored.
    request.result = std::move(result);
    request.phase = RequestPhase::kCleaningUp;
    return ReadAnswer(request);
  }
  Finish(request, std::move(result));
}

bool EntryCore::Impl::TryAnotherCell(EntryRequest& request, ErrorKind kind) {
  if (!MayRetryInAnotherCell(kind) || request.cancel_requested) return false;
  // A caller that knows the id of a durable job may have read its stored refusal through another
  // entry, and a job that was reported as "not run" must not run.
  if (request.spec.durable && request.acknowledged) return false;
  if (request.deadline.has_value() && now >= *request.deadline) return false;
  request.tried.insert(request.cell);
  RoutingResult route = ChooseCell(request);
  const auto* const routed = std::get_if<Routed>(&route);
  if (routed == nullptr || !retry_budget.TryRetry()) return false;
  AssignToCell(request, *routed, true);
  return true;
}

void EntryCore::Impl::CleanUpAndFinish(EntryRequest& request, JobResult result) {
  if (!request.spec.durable || !request.records_created) {
    return Finish(request, std::move(result));
  }
  request.phase = RequestPhase::kCleaningUp;
  request.result = std::move(result);
  if (request.spec.idempotent) {
    ReadJobRecord(request);
  } else {
    FenceRecord(request);
  }
}

void EntryCore::Impl::Finish(EntryRequest& request, JobResult result) {
  if (request.ran && ErrorInfo(result.error).outcome == RunOutcome::kNotRun) {
    result.message = fmt::format("{}: {}; an earlier attempt had run", ErrorInfo(result.error).name,
                                 result.message);
    result.error = ErrorKind::kAttemptsExhausted;
  }
  const ErrorRow& row = ErrorInfo(result.error);
  const std::string facts =
      fmt::format("job={} cell={} attempts={} duration_ms={} waiters={}", request.spec.id.value(),
                  request.cell.value(), request.attempts, (now - request.received).milliseconds(),
                  request.waiters.size());
  if (result.error == ErrorKind::kNone) {
    LogLine(EventId::kRequestAnswered, facts);
    retry_budget.OnSuccess();
  } else {
    LogLine(EventId::kRequestRefused,
            fmt::format("{} error={} outcome=\"{}\" reason=\"{}\"", facts, row.name,
                        RunOutcomeName(row.outcome), result.message));
  }
  request.state = EndState(result.error);
  request.result = std::move(result);
  request.phase = RequestPhase::kFinished;
  request.finished = now;
  request.operation = 0;
  payload_bytes -= request.spec.payload.size();
  request.spec.payload = std::string();
  --unfinished;
  std::vector<internal::RequestWaiter> waiters = std::move(request.waiters);
  request.waiters.clear();
  for (const internal::RequestWaiter& waiter : waiters) {
    Reply(waiter.caller, JobEndReply{StateOf(request), request.result});
  }
  Retain(request);
}

void EntryCore::Impl::Retain(EntryRequest& request) {
  retained_bytes += AnswerBytes(request.result);
  retained.push_back(request.spec.id);
}

void EntryCore::Impl::Evict() {
  while (!retained.empty()) {
    const EntryRequest* const oldest = FindRequest(retained.front());
    if (oldest != nullptr) {
      const bool expired = now - oldest->finished > options.answer_retention;
      const bool over_limit =
          retained_bytes > options.max_retained_bytes || retained.size() > options.max_requests;
      if (!expired && !over_limit) return;
      retained_bytes -= AnswerBytes(oldest->result);
      Erase(oldest->spec.id);
    }
    retained.pop_front();
  }
}

void EntryCore::Impl::Erase(const JobId& job) {
  const auto found = requests.find(job);
  if (found == requests.end()) return;
  EntryRequest& request = found->second;
  if (request.phase != RequestPhase::kFinished) {
    payload_bytes -= request.spec.payload.size();
    --unfinished;
  }
  const auto key = jobs_by_key.find({request.spec.workspace, request.spec.request_key});
  if (key != jobs_by_key.end() && key->second == job) jobs_by_key.erase(key);
  requests.erase(found);
}

}  // namespace basilspring
