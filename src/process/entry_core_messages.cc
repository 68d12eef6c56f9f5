#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::KnownCell;
using internal::RequestPhase;

namespace {

// Number of damaged answers after which the request fails; before that the answer is requested
// again.
constexpr std::uint32_t kMaxDamagedAnswers = 3;
// How often the state of an accepted job is polled. Its result is pushed, so polling only finds
// results that were lost when a process failed.
constexpr Duration kAcceptedPollInterval = Duration(10000);
constexpr Duration kObservedPollInterval = Duration(1000);
// How often routing is retried for a job that its cell returned.
constexpr Duration kReturnedPollInterval = Duration(500);

bool HasEnded(JobState state) { return state >= JobState::kDone; }

}  // namespace

void EntryCore::Impl::OnEvent(const ProcessMessage& event) {
  const Address& from = event.from;
  if (const auto* const accepted = std::get_if<JobAccepted>(&event.message)) {
    OnMessage(from, *accepted);
  } else if (const auto* const progress = std::get_if<JobProgress>(&event.message)) {
    OnMessage(from, *progress);
  } else if (const auto* const finished = std::get_if<JobFinished>(&event.message)) {
    OnMessage(from, *finished);
  } else if (const auto* const report = std::get_if<JobReport>(&event.message)) {
    OnMessage(from, *report);
  } else if (const auto* const returned = std::get_if<JobReturned>(&event.message)) {
    OnMessage(from, *returned);
  } else if (const auto* const summary = std::get_if<CellSummary>(&event.message)) {
    OnMessage(from, *summary);
  }
}

void EntryCore::Impl::OnMessage(const Address& from, const JobAccepted& message) {
  EntryRequest* const request = FindRequest(message.job);
  if (request == nullptr || request->phase != RequestPhase::kSubmitted) return;
  if (from != request->scheduler) return;
  if (request->unanswered_submissions > 0) --request->unanswered_submissions;
  request->accepted = true;
  request->next_poll = now + kAcceptedPollInterval;
  UpdateState(*request, message.state, request->attempts);
}

void EntryCore::Impl::OnMessage(const Address& from, const JobProgress& message) {
  EntryRequest* const request = FindRequest(message.job);
  if (request == nullptr || request->phase == RequestPhase::kFinished) return;
  if (!request->scheduler.empty() && from != request->scheduler) return;
  UpdateState(*request, message.state, message.attempts);
}

void EntryCore::Impl::UpdateState(EntryRequest& request, JobState state, std::uint32_t attempts) {
  const bool changed = request.state != state || request.attempts != attempts;
  request.state = state;
  request.attempts = attempts;
  if (!changed || HasEnded(state)) return;
  for (const internal::RequestWaiter& waiter : request.waiters) {
    if (waiter.streams_progress) Reply(waiter.caller, StateOf(request), false);
  }
}

void EntryCore::Impl::OnMessage(const Address& from, const JobFinished& message) {
  EntryRequest* const request = FindRequest(message.job);
  if (request == nullptr || request->phase == RequestPhase::kFinished) return;
  request->attempts = std::max(request->attempts, message.attempts);
  const bool answers = from == request->scheduler && request->unanswered_submissions > 0;
  if (answers) --request->unanswered_submissions;
  if (message.result.error == ErrorKind::kNone) {
    const std::size_t outputs = message.result.answer.outputs.size();
    // The shape of a job that another entry submitted is unknown to this entry.
    const bool complete =
        request->phase == RequestPhase::kObserved || outputs == request->spec.shape.tasks;
    if (!complete || !HasValidChecksum(message.result.answer)) {
      return HandleDamagedAnswer(*request, message.result);
    }
    return Finish(*request, message.result);
  }
  // A scheduler that hands over drops submissions, so its "not found" says nothing about the job.
  // The state is polled again.
  if (message.result.error == ErrorKind::kNotFound) return;
  // The result is sent to the entry that cancelled the job, even if another entry submitted it.
  const bool cancelled_here = request->phase == RequestPhase::kObserved && request->confirmed &&
                              request->cancel_requested && from == cells[request->cell].holder;
  if (cancelled_here) return Finish(*request, message.result);
  // A superseded scheduler, or one whose cell the job was moved away from, does not know the
  // outcome of the job.
  if (request->phase != RequestPhase::kSubmitted || from != request->scheduler) return;
  // The scheduler may accept a later submission that it has not answered.
  const bool not_run = ErrorInfo(message.result.error).outcome == RunOutcome::kNotRun;
  if (not_run && request->unanswered_submissions > 0) return;
  HandleRefusal(*request, message.result);
}

void EntryCore::Impl::HandleDamagedAnswer(EntryRequest& request, const JobResult& result) {
  LogLine(
      EventId::kRequestRefused,
      fmt::format("job={} reason=\"damaged answer dropped\" outputs={} tasks={}",
                  request.spec.id.value(), result.answer.outputs.size(), request.spec.shape.tasks));
  if (request.phase != RequestPhase::kSubmitted) return;
  if (++request.damaged_answers < kMaxDamagedAnswers) {
    if (request.spec.durable) {
      ReadAnswer(request);
    } else {
      Submit(request);
    }
    return;
  }
  JobResult failure;
  failure.error = ErrorKind::kInternal;
  failure.message = "the answer arrived damaged every time";
  Finish(request, std::move(failure));
}

void EntryCore::Impl::OnMessage(const Address& from, const JobReport& message) {
  if (message.query != 0) {
    const auto found = pending_explains.find(message.query);
    if (found == pending_explains.end() || found->second.job != message.job || !message.known) {
      return;
    }
    const internal::PendingExplain pending = found->second;
    pending_explains.erase(found);
    return ReplyWithExplanation(pending, &message);
  }
  EntryRequest* const request = FindRequest(message.job);
  if (request == nullptr) return;
  if (request->phase == RequestPhase::kSubmitted && from == request->scheduler) {
    // The scheduler has received the submissions that came before the query, or never will.
    request->unanswered_submissions = 0;
    if (message.known && !HasEnded(message.state)) {
      UpdateState(*request, message.state, message.attempts);
      request->next_poll = now + kAcceptedPollInterval;
      // A new scheduler may know the job only from its agents, without the payload, if the
      // submission did not reach it. Another submission of a known job is harmless.
      if (!request->accepted && request->operation == 0) Submit(*request);
      return;
    }
    // The result was lost in transit, or the scheduler never received the job.
    if (request->operation != 0) return;
    if (request->spec.durable) return ReadAnswer(*request);
    return Submit(*request);
  }
  if (request->phase != RequestPhase::kObserved) return;
  if (!message.known) {
    if (request->confirmed && ++request->reports_without_answer >= 1 && request->operation == 0) {
      ReadAnswer(*request);
    }
    return;
  }
  for (const auto& [id, cell] : cells) {
    if (cell.holder == from) request->cell = id;
  }
  if (!request->confirmed && request->cancel_requested) Send(from, CancelJob{message.job});
  request->confirmed = true;
  request->reports_without_answer =
      HasEnded(message.state) ? request->reports_without_answer + 1 : 0;
  request->next_poll = now + kObservedPollInterval;
  UpdateState(*request, message.state, message.attempts);
  if (HasEnded(message.state) && request->operation == 0) ReadAnswer(*request);
}

void EntryCore::Impl::OnMessage(const Address& from, const JobReturned& message) {
  EntryRequest* const request = FindRequest(message.job);
  if (request == nullptr || request->phase != RequestPhase::kSubmitted) return;
  if (from != request->scheduler) return;
  if (request->unanswered_submissions > 0) --request->unanswered_submissions;
  request->returned = true;
  request->ran = request->ran || message.ran;
  // Otherwise the cell returned the job because its data centre is out of service, and is a good
  // choice once it is back.
  if (InService(request->cell)) request->returned_by.insert(request->cell);
  UpdateState(*request, JobState::kQueued, std::max(request->attempts, message.attempts));
  RerouteReturnedJob(*request);
}

bool EntryCore::Impl::InService(const CellId& cell) const {
  const auto known = cells.find(cell);
  return known != cells.end() && known->second.summary.has_value() &&
         configuration.out_of_service.count(known->second.summary->data_centre) == 0;
}

void EntryCore::Impl::RerouteReturnedJob(EntryRequest& request) {
  request.next_poll = now + kReturnedPollInterval;
  if (request.operation != 0) return;
  RoutingResult route = ChooseCell(request, request.returned_by);
  if (!std::holds_alternative<Routed>(route)) {
    request.returned_by.clear();
    route = ChooseCell(request);
  }
  const auto* const routed = std::get_if<Routed>(&route);
  if (routed == nullptr) return;
  request.returned = false;
  if (routed->cell == request.cell) return Submit(request);
  LogLine(EventId::kRequestResubmitted, fmt::format("job={} reason=\"returned by cell {}\"",
                                                    request.spec.id.value(), request.cell.value()));
  AssignToCell(request, *routed);
}

void EntryCore::Impl::OnMessage(const Address& from, const CellSummary& message) {
  KnownCell& cell = cells[message.cell];
  cell.id = message.cell;
  if (message.epoch < cell.epoch) return;
  // At the same epoch the holder from the store takes precedence, because a scheduler whose lease
  // has expired may still send summaries.
  const bool changed = message.epoch > cell.epoch;
  cell.summary = message;
  // Messages to the scheduler go to the address that the datagram came from.
  cell.summary->scheduler = from;
  cell.last_heard = now;
  cell.tasks_sent = 0;
  cell.epoch = message.epoch;
  if (changed) {
    cell.holder = from;
    OnSchedulerChanged(cell);
  }
}

void EntryCore::Impl::OnEvent(const CellChanged& event) {
  KnownCell& cell = cells[event.cell];
  cell.id = event.cell;
  if (event.epoch < cell.epoch) return;
  const bool changed = event.epoch > cell.epoch || event.holder != cell.holder;
  cell.epoch = event.epoch;
  cell.holder = event.holder;
  if (changed && !event.holder.empty()) OnSchedulerChanged(cell);
}

void EntryCore::Impl::OnSchedulerChanged(KnownCell& cell) {
  cell.last_heard = now;
  for (auto& [id, request] : requests) {
    if (request.cell != cell.id || request.phase != RequestPhase::kSubmitted) continue;
    LogLine(EventId::kRequestResubmitted,
            fmt::format("job={} cell={} epoch={} scheduler={}", id.value(), cell.id.value(),
                        cell.epoch.value(), cell.holder.ToString()));
    Submit(request);
  }
}

}  // namespace basilspring
