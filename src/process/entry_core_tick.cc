#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::KnownCell;
using internal::RequestPhase;

namespace {

constexpr Duration kSubmittedPollInterval = Duration(2000);
constexpr Duration kObservedPollInterval = Duration(1000);
// The cell scheduler ends jobs at their deadline. The entry waits this long for its answer.
constexpr Duration kDeadlineGrace = Duration(1000);
// How long callers of a stopping entry still wait for durable jobs.
constexpr Duration kStopTimeout = Duration(5000);

}  // namespace

void EntryCore::Impl::OnEvent(const RoutingConfiguration& event) {
  configuration = event;
  link_budget.SetRate(now, event.link_kbps);
  retry_budget.SetPercent(event.retry_percent);
}

void EntryCore::Impl::OnEvent(const StoreReachability& event) { store_reachable = event.reachable; }

void EntryCore::Impl::OnEvent(const StopEvent& /*event*/) {
  stopping = true;
  // A durable job continues without this entry, so callers that would wait longer are told
  // "accepted" before the entry stops.
  for (auto& [id, request] : requests) {
    if (!request.spec.durable && request.phase != RequestPhase::kObserved) continue;
    for (internal::RequestWaiter& waiter : request.waiters) {
      waiter.until = std::min(waiter.until, now + kStopTimeout);
    }
  }
}

void EntryCore::Impl::OnEvent(const TickEvent& /*event*/) {
  // Handling a request can erase requests, so the ids are collected first.
  std::vector<JobId> active;
  for (const auto& [id, request] : requests) {
    if (request.phase != RequestPhase::kFinished) active.push_back(id);
  }
  for (const JobId& id : active) {
    if (EntryRequest* const request = FindRequest(id)) TickRequest(*request);
  }
  ExpireExplains();
  Evict();
}

void EntryCore::Impl::TickRequest(EntryRequest& request) {
  if (EnforceDeadline(request)) return;
  if (request.phase == RequestPhase::kWaitingForCell) return RouteRequest(request);
  if (request.phase == RequestPhase::kSubmitted) RerouteFromSilentCell(request);
  if (request.phase == RequestPhase::kObserved && !request.confirmed &&
      now >= request.lookup_until) {
    JobResult result;
    result.error = ErrorKind::kNotFound;
    result.message = "neither the store nor a cell scheduler knows this job";
    const JobId id = request.spec.id;
    Finish(request, std::move(result));
    // The result is not retained, because the job may be submitted later.
    retained.pop_back();
    return Erase(id);
  }
  Poll(request);
  ExpireWaiters(request);
}

bool EntryCore::Impl::EnforceDeadline(EntryRequest& request) {
  if (!request.deadline.has_value() || now < *request.deadline) return false;
  JobResult result;
  result.error = ErrorKind::kDeadlineExceeded;
  result.message = "the deadline passed";
  result.retry_after = Duration(1000);
  if (request.phase == RequestPhase::kWaitingForCell) {
    Finish(request, std::move(result));
    return true;
  }
  const bool overdue = now >= *request.deadline + kDeadlineGrace;
  if (request.phase != RequestPhase::kSubmitted || !overdue) return false;
  Send(request.scheduler, CancelJob{request.spec.id});
  if (!request.sent || !request.spec.idempotent) {
    // Fencing the record shows whether the job was claimed.
    CleanUpAndFinish(request, std::move(result));
    return true;
  }
  result.error = ErrorKind::kTimeout;
  result.message = "the deadline passed, and the cell scheduler did not say whether the job ran";
  Finish(request, std::move(result));
  return true;
}

void EntryCore::Impl::RerouteFromSilentCell(EntryRequest& request) {
  const KnownCell& cell = cells[request.cell];
  const bool silent =
      now - std::max(cell.last_heard, request.received) > options.cell_silence_timeout;
  if (!silent || request.cancel_requested) return;
  // The silent cell may still run the job. A non-idempotent job must not run twice, and among
  // running jobs only urgent ones justify a second run.
  const bool runs = request.state == JobState::kRunning;
  if (!request.spec.idempotent || (runs && request.spec.durable)) return;
  request.tried.insert(request.cell);
  RoutingResult route = ChooseCell(request);
  const auto* const routed = std::get_if<Routed>(&route);
  if (routed == nullptr || request.operation != 0 || !retry_budget.TryRetry()) return;
  LogLine(EventId::kRequestResubmitted, fmt::format("job={} reason=\"cell {} is silent\"",
                                                    request.spec.id.value(), request.cell.value()));
  AssignToCell(request, *routed);
}

void EntryCore::Impl::Poll(EntryRequest& request) {
  if (now < request.next_poll) return;
  if (request.phase == RequestPhase::kSubmitted && request.returned) {
    return RerouteReturnedJob(request);
  }
  if (request.phase == RequestPhase::kSubmitted && request.sent) {
    request.next_poll = now + kSubmittedPollInterval;
    Send(request.scheduler, QueryJob{request.spec.id, 0});
  } else if (request.phase == RequestPhase::kObserved) {
    request.next_poll = now + kObservedPollInterval;
    if (request.confirmed) {
      Send(cells[request.cell].holder, QueryJob{request.spec.id, 0});
    } else {
      QueryAllCells(request.spec.id, 0);
    }
  }
}

void EntryCore::Impl::ExpireWaiters(EntryRequest& request) {
  // A job is not accepted before its records exist or it has been sent to its cell.
  if (request.phase == RequestPhase::kWaitingForCell || request.phase == RequestPhase::kCreating) {
    return;
  }
  if (request.phase == RequestPhase::kObserved && !request.confirmed) return;
  auto& waiters = request.waiters;
  for (std::size_t i = 0; i < waiters.size();) {
    if (waiters[i].until > now) {
      ++i;
      continue;
    }
    request.acknowledged = true;
    Reply(waiters[i].caller, StateOf(request));
    waiters.erase(waiters.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (request.phase == RequestPhase::kObserved && waiters.empty()) Erase(request.spec.id);
}

void EntryCore::Impl::ExpireExplains() {
  for (auto next = pending_explains.begin(); next != pending_explains.end();) {
    if (next->second.until > now) {
      ++next;
      continue;
    }
    const internal::PendingExplain pending = next->second;
    next = pending_explains.erase(next);
    ReplyWithExplanation(pending, nullptr);
  }
}

}  // namespace basilspring
