#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::KnownCell;
using internal::RequestPhase;

namespace {

constexpr Duration kPollInterval = Duration(2000);
constexpr Duration kObservedPoll = Duration(1000);
// The cell scheduler ends jobs at their deadline; its answer gets this long to arrive.
constexpr Duration kDeadlineGrace = Duration(1000);
// How long a stopping entry still waits for durable jobs.
constexpr Duration kStopWait = Duration(5000);

}  // namespace

void EntryCore::Impl::On(const RoutingConfiguration& event) {
  configuration = event;
  link.SetRate(now, event.link_kbps);
  retries.SetPercent(event.retry_percent);
}

void EntryCore::Impl::On(const StoreState& event) { store_reachable = event.reachable; }

void EntryCore::Impl::On(const StopEvent& /*event*/) {
  stopping = true;
  // A durable job goes on without this entry: who waits long for it is told "accepted" in time.
  for (auto& [id, request] : requests) {
    if (!request.spec.durable && request.phase != RequestPhase::kObserved) continue;
    for (internal::RequestWaiter& waiter : request.waiters) {
      waiter.until = std::min(waiter.until, now + kStopWait);
    }
  }
}

void EntryCore::Impl::On(const TickEvent& /*event*/) {
  // Requests can be erased on the way, so their ids are collected first.
  std::vector<JobId> active;
  for (const auto& [id, request] : requests) {
    if (request.phase != RequestPhase::kFinished) active.push_back(id);
  }
  for (const JobId& id : active) {
    if (EntryRequest* const request = Find(id)) TickRequest(*request);
  }
  ExpireExplains();
  Evict();
}

void EntryCore::Impl::TickRequest(EntryRequest& request) {
  if (PassDeadline(request)) return;
  if (request.phase == RequestPhase::kParked) return Start(request);
  if (request.phase == RequestPhase::kSubmitted) LeaveSilentCell(request);
  if (request.phase == RequestPhase::kObserved && !request.known && now >= request.lookup_until) {
    JobResult result;
    result.error = ErrorKind::kNotFound;
    result.message = "neither the store nor a cell scheduler knows this job";
    const JobId id = request.spec.id;
    Finish(request, std::move(result));
    // Not retained: the job may be submitted later.
    retained.pop_back();
    return Erase(id);
  }
  Poll(request);
  ExpireWaiters(request);
}

bool EntryCore::Impl::PassDeadline(EntryRequest& request) {
  if (!request.deadline.has_value() || now < *request.deadline) return false;
  JobResult result;
  result.error = ErrorKind::kDeadlineExceeded;
  result.message = "the deadline passed";
  result.retry_after = Duration(1000);
  if (request.phase == RequestPhase::kParked) {
    Finish(request, std::move(result));
    return true;
  }
  const bool overdue = now >= *request.deadline + kDeadlineGrace;
  if (request.phase != RequestPhase::kSubmitted || !overdue) return false;
  Send(request.scheduler, CancelJob{request.spec.id});
  if (!request.sent || !request.spec.idempotent) {
    // The fence shows whether the job was claimed.
    Settle(request, std::move(result));
    return true;
  }
  result.error = ErrorKind::kTimeout;
  result.message = "the deadline passed, and the cell scheduler did not say whether the job ran";
  Finish(request, std::move(result));
  return true;
}

void EntryCore::Impl::LeaveSilentCell(EntryRequest& request) {
  const KnownCell& cell = cells[request.cell];
  const bool silent = now - std::max(cell.heard, request.received) > options.cell_silence;
  if (!silent || request.cancel_requested) return;
  // The cell may still run the job behind the broken link. A non-idempotent job must not run twice,
  // and of running jobs only urgent ones are worth a second run.
  const bool runs = request.state == JobState::kRunning;
  if (!request.spec.idempotent || (runs && request.spec.durable)) return;
  request.tried.insert(request.cell);
  RoutingResult route = Route(request);
  const auto* const routed = std::get_if<Routed>(&route);
  if (routed == nullptr || request.operation != 0 || !retries.TryRetry()) return;
  LogLine(EventId::kRequestResubmitted, fmt::format("job={} reason=\"cell {} is silent\"",
                                                    request.spec.id.value(), request.cell.value()));
  StartIn(request, *routed);
}

void EntryCore::Impl::Poll(EntryRequest& request) {
  if (now < request.next_poll) return;
  if (request.phase == RequestPhase::kSubmitted && request.sent) {
    request.next_poll = now + kPollInterval;
    Send(request.scheduler, QueryJob{request.spec.id, 0});
  } else if (request.phase == RequestPhase::kObserved) {
    request.next_poll = now + kObservedPoll;
    if (request.known) {
      Send(cells[request.cell].holder, QueryJob{request.spec.id, 0});
    } else {
      QueryEverywhere(request.spec.id, 0);
    }
  }
}

void EntryCore::Impl::ExpireWaiters(EntryRequest& request) {
  // Before its records stand or its cell has it, a job is not accepted.
  if (request.phase == RequestPhase::kParked || request.phase == RequestPhase::kCreating) return;
  if (request.phase == RequestPhase::kObserved && !request.known) return;
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
  for (auto one = explains.begin(); one != explains.end();) {
    if (one->second.until > now) {
      ++one;
      continue;
    }
    const internal::PendingExplain pending = one->second;
    one = explains.erase(one);
    ExplainWith(pending, nullptr);
  }
}

}  // namespace basilspring
