#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::RequestPhase;

namespace {

// Refusals that say nothing about other cells.
bool CanGoElsewhere(ErrorKind kind) {
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

void EntryCore::Impl::Refused(EntryRequest& request, JobResult result) {
  if (ErrorInfo(result.error).outcome == RunOutcome::kNotRun) {
    if (TryElsewhere(request, result.error)) {
      // Kept for the case that the records can't be moved.
      if (request.phase == RequestPhase::kMoving) request.result = std::move(result);
      return;
    }
    return Settle(request, std::move(result));
  }
  if (result.error == ErrorKind::kOutcomeUnknown && request.spec.durable) {
    // The scheduler may have lost an answer that stands in the store.
    request.result = std::move(result);
    request.phase = RequestPhase::kSettling;
    return ReadAnswer(request);
  }
  Finish(request, std::move(result));
}

bool EntryCore::Impl::TryElsewhere(EntryRequest& request, ErrorKind kind) {
  if (!CanGoElsewhere(kind) || request.cancel_requested) return false;
  // Who knows the id of a durable job can have read its refusal in the store at another entry, and
  // what was called "not run" must not run.
  if (request.spec.durable && request.acknowledged) return false;
  if (request.deadline.has_value() && now >= *request.deadline) return false;
  request.tried.insert(request.cell);
  RoutingResult route = Route(request);
  const auto* const routed = std::get_if<Routed>(&route);
  if (routed == nullptr || !retries.TryRetry()) return false;
  StartIn(request, *routed, true);
  return true;
}

void EntryCore::Impl::Settle(EntryRequest& request, JobResult result) {
  if (!request.spec.durable || !request.records_created) {
    return Finish(request, std::move(result));
  }
  request.phase = RequestPhase::kSettling;
  request.result = std::move(result);
  if (request.spec.idempotent) {
    ReadJob(request);
  } else {
    Fence(request);
  }
}

void EntryCore::Impl::Finish(EntryRequest& request, JobResult result) {
  const ErrorRow& row = ErrorInfo(result.error);
  const std::string facts =
      fmt::format("job={} cell={} attempts={} duration_ms={} waiters={}", request.spec.id.value(),
                  request.cell.value(), request.attempts, (now - request.received).milliseconds(),
                  request.waiters.size());
  if (result.error == ErrorKind::kNone) {
    LogLine(EventId::kRequestAnswered, facts);
    retries.OnSuccess();
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
    const EntryRequest* const oldest = Find(retained.front());
    if (oldest != nullptr) {
      const bool expired = now - oldest->finished > options.answer_retention;
      const bool crowded =
          retained_bytes > options.max_retained_bytes || retained.size() > options.max_requests;
      if (!expired && !crowded) return;
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
  const auto key = keys.find({request.spec.workspace, request.spec.request_key});
  if (key != keys.end() && key->second == job) keys.erase(key);
  requests.erase(found);
}

}  // namespace basilspring
