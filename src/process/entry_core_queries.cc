#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::PendingExplain;
using internal::RequestPhase;

namespace {

// Time for the cell schedulers and the store to answer whether they know a job.
constexpr Duration kLookupTimeout = Duration(1500);
// A progress stream ends with its job; this limit only ends streams that would otherwise stay
// forever.
constexpr Duration kProgressTimeout = Duration(24 * 3600 * 1000);

}  // namespace

void EntryCore::Impl::OnEvent(const ResultRequest& event) {
  EntryRequest* const request = FindRequest(event.job);
  AddWaiter(request == nullptr ? Observe(event.job) : *request, event.caller, event.wait);
  // If the job was cancelled through another entry, its result was sent to that entry, so this
  // entry has to query the scheduler.
  if (request != nullptr && request->spec.durable && request->phase == RequestPhase::kSubmitted) {
    Send(request->scheduler, QueryJob{event.job, 0});
  }
}

void EntryCore::Impl::OnEvent(const ProgressRequest& event) {
  EntryRequest* const found = FindRequest(event.job);
  EntryRequest& request = found == nullptr ? Observe(event.job) : *found;
  AddWaiter(request, event.caller, kProgressTimeout, true);
  const bool has_state = request.phase != RequestPhase::kFinished &&
                         (request.phase != RequestPhase::kObserved || request.confirmed);
  if (has_state) Reply(event.caller, StateOf(request), false);
}

EntryRequest& EntryCore::Impl::Observe(const JobId& job) {
  EntryRequest& request = requests[job];
  request.spec.id = job;
  request.phase = RequestPhase::kObserved;
  request.received = now;
  request.lookup_until = now + kLookupTimeout;
  request.next_poll = now + kLookupTimeout / 3;
  ++unfinished;
  ReadAnswer(request);
  QueryAllCells(job, 0);
  return request;
}

void EntryCore::Impl::QueryAllCells(const JobId& job, std::uint64_t query) {
  for (const auto& [id, cell] : cells) Send(cell.holder, QueryJob{job, query});
}

void EntryCore::Impl::OnEvent(const ExplainRequest& event) {
  const PendingExplain pending{event.caller, event.job, now + kLookupTimeout};
  const EntryRequest* const request = FindRequest(event.job);
  const std::uint64_t query = next_explain++;
  if (request == nullptr || request->phase == RequestPhase::kObserved) {
    QueryAllCells(event.job, query);
  } else if (request->sent && request->phase != RequestPhase::kFinished) {
    Send(request->scheduler, QueryJob{event.job, query});
  } else {
    return ReplyWithExplanation(pending, nullptr);
  }
  pending_explains[query] = pending;
}

void EntryCore::Impl::ReplyWithExplanation(const PendingExplain& pending, const JobReport* report) {
  const EntryRequest* const request = FindRequest(pending.job);
  ExplainReply reply;
  reply.job.job = pending.job;
  if (request != nullptr) {
    reply.job = StateOf(*request);
    reply.routing = request->routing;
    if (request->result.error != ErrorKind::kNone) {
      reply.routing.push_back(
          fmt::format("{}: {}", ErrorInfo(request->result.error).name, request->result.message));
    }
  }
  if (report != nullptr) {
    reply.job.state = report->state;
    reply.job.attempts = report->attempts;
    reply.workers = report->workers;
    reply.placement = report->reasons;
  } else if (request == nullptr) {
    return ReplyWithError(pending.caller, pending.job, ErrorKind::kNotFound,
                          "no cell scheduler knows this job");
  }
  Reply(pending.caller, std::move(reply));
}

void EntryCore::Impl::OnEvent(const ListRequest& event) {
  ListReply reply;
  for (const auto& [id, request] : requests) {
    if (request.spec.workspace.empty()) continue;
    if (!event.workspace.empty() && request.spec.workspace != event.workspace) continue;
    reply.jobs.push_back(StateOf(request));
  }
  std::sort(reply.jobs.begin(), reply.jobs.end(),
            [](const StateReply& left, const StateReply& right) { return left.job < right.job; });
  Reply(event.caller, std::move(reply));
}

void EntryCore::Impl::OnEvent(const CancelRequest& event) {
  EntryRequest* const found = FindRequest(event.job);
  EntryRequest& request = found == nullptr ? Observe(event.job) : *found;
  AddWaiter(request, event.caller, event.wait);
  if (request.phase != RequestPhase::kFinished) RequestCancel(request);
}

void EntryCore::Impl::RequestCancel(EntryRequest& request) {
  LogLine(EventId::kRequestCancelled,
          fmt::format("job={} cell={} state={}", request.spec.id.value(), request.cell.value(),
                      JobStateName(request.state)));
  request.cancel_requested = true;
  if (request.phase == RequestPhase::kSubmitted && request.sent) {
    Send(request.scheduler, CancelJob{request.spec.id});
  } else if (request.phase == RequestPhase::kObserved && request.confirmed) {
    Send(cells[request.cell].holder, CancelJob{request.spec.id});
  } else if (!request.sent && (request.phase == RequestPhase::kWaitingForCell ||
                               request.phase == RequestPhase::kSubmitted)) {
    JobResult result;
    result.error = ErrorKind::kCancelled;
    result.message = "cancelled before it was submitted";
    CleanUpAndFinish(request, std::move(result));
  }
}

void EntryCore::Impl::OnEvent(const CallerDisconnected& event) {
  for (auto pending = pending_explains.begin(); pending != pending_explains.end();) {
    pending = pending->second.caller == event.caller ? pending_explains.erase(pending)
                                                     : std::next(pending);
  }
  const auto found = jobs_by_caller.find(event.caller);
  if (found == jobs_by_caller.end()) return;
  EntryRequest* const request = FindRequest(found->second);
  jobs_by_caller.erase(found);
  if (request == nullptr || request->phase == RequestPhase::kFinished) return;
  auto& waiters = request->waiters;
  waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                               [&event](const internal::RequestWaiter& waiter) {
                                 return waiter.caller == event.caller;
                               }),
                waiters.end());
  const bool wanted = !waiters.empty() || request->acknowledged || request->spec.durable;
  if (wanted || request->phase == RequestPhase::kObserved) return;
  // A repeated request must not be attached to a job that is being cancelled.
  jobs_by_key.erase({request->spec.workspace, request->spec.request_key});
  RequestCancel(*request);
}

}  // namespace basilspring
