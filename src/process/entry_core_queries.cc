#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::PendingExplain;
using internal::RequestPhase;

namespace {

// Time for the cell schedulers and the store to say whether they know a job.
constexpr Duration kLookupWait = Duration(1500);
// A progress stream ends with the job; this bound only keeps abandoned ones from staying forever.
constexpr Duration kProgressWait = Duration(24 * 3600 * 1000);

}  // namespace

void EntryCore::Impl::On(const ResultRequest& event) {
  EntryRequest* const request = Find(event.job);
  AddWaiter(request == nullptr ? Observe(event.job) : *request, event.caller, event.wait);
  // A job that was cancelled at another entry sends its end there.
  if (request != nullptr && request->spec.durable && request->phase == RequestPhase::kSubmitted) {
    Send(request->scheduler, QueryJob{event.job, 0});
  }
}

void EntryCore::Impl::On(const ProgressRequest& event) {
  EntryRequest* const found = Find(event.job);
  EntryRequest& request = found == nullptr ? Observe(event.job) : *found;
  AddWaiter(request, event.caller, kProgressWait, true);
  const bool has_state = request.phase != RequestPhase::kFinished &&
                         (request.phase != RequestPhase::kObserved || request.known);
  if (has_state) Reply(event.caller, StateOf(request), false);
}

EntryRequest& EntryCore::Impl::Observe(const JobId& job) {
  EntryRequest& request = requests[job];
  request.spec.id = job;
  request.phase = RequestPhase::kObserved;
  request.received = now;
  request.lookup_until = now + kLookupWait;
  request.next_poll = now + kLookupWait / 3;
  ++unfinished;
  ReadAnswer(request);
  QueryEverywhere(job, 0);
  return request;
}

void EntryCore::Impl::QueryEverywhere(const JobId& job, std::uint64_t query) {
  for (const auto& [id, cell] : cells) Send(cell.holder, QueryJob{job, query});
}

void EntryCore::Impl::On(const ExplainRequest& event) {
  const PendingExplain pending{event.caller, event.job, now + kLookupWait};
  const EntryRequest* const request = Find(event.job);
  const std::uint64_t query = next_explain++;
  if (request == nullptr || request->phase == RequestPhase::kObserved) {
    QueryEverywhere(event.job, query);
  } else if (request->sent && request->phase != RequestPhase::kFinished) {
    Send(request->scheduler, QueryJob{event.job, query});
  } else {
    return ExplainWith(pending, nullptr);
  }
  explains[query] = pending;
}

void EntryCore::Impl::ExplainWith(const PendingExplain& pending, const JobReport* report) {
  const EntryRequest* const request = Find(pending.job);
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
    return ReplyError(pending.caller, pending.job, ErrorKind::kNotFound,
                      "no cell scheduler knows this job");
  }
  Reply(pending.caller, std::move(reply));
}

void EntryCore::Impl::On(const ListRequest& event) {
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

void EntryCore::Impl::On(const CancelRequest& event) {
  EntryRequest* const found = Find(event.job);
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
  } else if (request.phase == RequestPhase::kObserved && request.known) {
    Send(cells[request.cell].holder, CancelJob{request.spec.id});
  } else if (!request.sent && (request.phase == RequestPhase::kParked ||
                               request.phase == RequestPhase::kSubmitted)) {
    JobResult result;
    result.error = ErrorKind::kCancelled;
    result.message = "cancelled before it was submitted";
    Settle(request, std::move(result));
  }
}

void EntryCore::Impl::On(const CallerGone& event) {
  for (auto one = explains.begin(); one != explains.end();) {
    one = one->second.caller == event.caller ? explains.erase(one) : std::next(one);
  }
  const auto found = callers.find(event.caller);
  if (found == callers.end()) return;
  EntryRequest* const request = Find(found->second);
  callers.erase(found);
  if (request == nullptr || request->phase == RequestPhase::kFinished) return;
  auto& waiters = request->waiters;
  waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                               [&event](const internal::RequestWaiter& waiter) {
                                 return waiter.caller == event.caller;
                               }),
                waiters.end());
  const bool wanted = !waiters.empty() || request->acknowledged || request->spec.durable;
  if (wanted || request->phase == RequestPhase::kObserved) return;
  // A repeat of the request must not be attached to a job that is being cancelled.
  keys.erase({request->spec.workspace, request->spec.request_key});
  RequestCancel(*request);
}

}  // namespace basilspring
