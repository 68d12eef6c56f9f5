#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "process/entry_core_internal.h"

namespace basilspring {

using internal::EntryRequest;
using internal::KnownCell;
using internal::RequestPhase;

namespace {

// Time for a scheduler to accept a job before it is queried for the job.
constexpr Duration kAcceptTimeout = Duration(2000);

std::uint64_t HashPayload(const std::string& payload) {
  return XXH64(payload.data(), payload.size(), 0);
}

bool IsSameRequest(const EntryRequest& first, const JobSpec& spec) {
  return first.payload_hash == HashPayload(spec.payload) && first.spec.shape == spec.shape &&
         first.spec.job_class == spec.job_class && first.spec.idempotent == spec.idempotent;
}

// Whether a repeated request may start a new job instead of getting the result of the first one.
bool CanStartNewJob(const EntryRequest& first) {
  const ErrorRow& row = ErrorInfo(first.result.error);
  return first.phase == RequestPhase::kFinished && row.outcome == RunOutcome::kNotRun &&
         row.retryable;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : " | ") + line;
  return text;
}

std::string DescribeJob(const JobSpec& spec) {
  return fmt::format(
      "job={} workspace={} class={} tasks={} cores={} memory_mb={} accelerators={} adjacent={} "
      "payload_bytes={}",
      spec.id.value(), spec.workspace.value(), JobClassName(spec.job_class), spec.shape.tasks,
      spec.shape.cores.value(), spec.shape.memory.value(), spec.shape.accelerators.value(),
      spec.shape.adjacent, spec.payload.size());
}

}  // namespace

void EntryCore::Impl::OnEvent(const SubmitRequest& event) {
  LogLine(EventId::kRequestReceived, DescribeJob(event.spec));
  if (AttachDuplicate(event) || RefuseAtAdmission(event)) return;
  EntryRequest& request = requests[event.spec.id];
  request.spec = event.spec;
  request.received = now;
  request.payload_hash = HashPayload(event.spec.payload);
  if (event.spec.deadline > Duration(0)) request.deadline = now + event.spec.deadline;
  jobs_by_key[{event.spec.workspace, event.spec.request_key}] = event.spec.id;
  ++unfinished;
  payload_bytes += event.spec.payload.size();
  AddWaiter(request, event.caller, event.wait);
  RouteRequest(request);
}

bool EntryCore::Impl::AttachDuplicate(const SubmitRequest& event) {
  const auto key = jobs_by_key.find({event.spec.workspace, event.spec.request_key});
  if (key == jobs_by_key.end()) return false;
  EntryRequest* const first = FindRequest(key->second);
  if (first == nullptr || CanStartNewJob(*first)) {
    jobs_by_key.erase(key);
    return false;
  }
  if (!IsSameRequest(*first, event.spec)) {
    ReplyWithError(
        event.caller, event.spec.id, ErrorKind::kInvalidArgument,
        fmt::format("key is \"{}\", which was used in this workspace for a request with "
                    "another payload, shape, class or idempotent flag; allowed: a new key",
                    event.spec.request_key.value()));
    return true;
  }
  AddWaiter(*first, event.caller, event.wait);
  return true;
}

bool EntryCore::Impl::RefuseAtAdmission(const SubmitRequest& event) {
  if (stopping) {
    ReplyWithError(event.caller, event.spec.id, ErrorKind::kShuttingDown, "this entry is stopping");
  } else if (unfinished >= options.max_requests) {
    ReplyWithError(
        event.caller, event.spec.id, ErrorKind::kOverloaded,
        fmt::format("{} requests are in flight; allowed: {}", unfinished, options.max_requests));
  } else if (payload_bytes + event.spec.payload.size() > options.max_payload_bytes) {
    ReplyWithError(event.caller, event.spec.id, ErrorKind::kOverloaded,
                   fmt::format("the payloads in flight have {} bytes; allowed: {}", payload_bytes,
                               options.max_payload_bytes));
  } else if (FindRequest(event.spec.id) != nullptr) {
    ReplyWithError(event.caller, event.spec.id, ErrorKind::kConflict, "the job id is in use");
  } else {
    return false;
  }
  return true;
}

void EntryCore::Impl::AddWaiter(EntryRequest& request, CallerId caller, Duration wait,
                                bool streams_progress) {
  if (request.phase == RequestPhase::kFinished) {
    Reply(caller, JobEndReply{StateOf(request), request.result});
    return;
  }
  jobs_by_caller[caller] = request.spec.id;
  request.waiters.push_back({caller, now + wait, streams_progress});
}

RoutingResult EntryCore::Impl::ChooseCell(const EntryRequest& request,
                                          const std::set<CellId>& avoid) {
  std::vector<CellCandidate> candidates;
  for (const auto& [id, cell] : cells) {
    if (!cell.summary.has_value()) continue;
    CellCandidate& candidate = candidates.emplace_back();
    candidate.summary = *cell.summary;
    candidate.in_service = configuration.out_of_service.count(cell.summary->data_centre) == 0;
    const bool local = cell.summary->region == options.region;
    const Duration age = local ? options.max_summary_age : options.max_remote_summary_age;
    candidate.current =
        cell.summary->epoch == cell.epoch && !cell.holder.empty() && now - cell.last_heard <= age;
    candidate.tasks_sent = cell.tasks_sent;
  }
  RoutingInput input;
  input.job = &request.spec;
  input.now = now;
  input.region = options.region;
  input.cells = &candidates;
  input.link = &link_budget;
  input.avoid = request.tried;
  input.avoid.insert(avoid.begin(), avoid.end());
  return RouteJob(input);
}

void EntryCore::Impl::RouteRequest(EntryRequest& request) {
  RoutingResult result = ChooseCell(request);
  if (const auto* const routed = std::get_if<Routed>(&result)) {
    AssignToCell(request, *routed);
    return;
  }
  auto& refusal = std::get<NotRouted>(result);
  request.routing = refusal.candidates;
  const bool temporary = refusal.kind == ErrorKind::kNoScheduler;
  if (temporary && !cells.empty() && now < request.received + options.cell_wait_timeout) {
    request.phase = RequestPhase::kWaitingForCell;
    return;
  }
  LogLine(EventId::kRequestRouted,
          fmt::format("{} cell=none reason=\"{}\" candidates=[{}]", DescribeJob(request.spec),
                      refusal.reason, JoinLines(refusal.candidates)));
  JobResult end;
  end.error = refusal.kind;
  end.message = refusal.reason;
  if (ErrorInfo(refusal.kind).retryable) end.retry_after = Duration(1000);
  Finish(request, std::move(end));
}

void EntryCore::Impl::AssignToCell(EntryRequest& request, const Routed& routed, bool refused) {
  request.routing = routed.candidates;
  LogLine(EventId::kRequestRouted,
          fmt::format("{} cell={} reason=\"{}\" link_bytes={} candidates=[{}]",
                      DescribeJob(request.spec), routed.cell.value(), routed.reason,
                      routed.link_bytes, JoinLines(routed.candidates)));
  if (routed.link_bytes > 0) link_budget.TryTake(now, routed.link_bytes);
  if (request.spec.durable && request.records_created) {
    MoveRecords(request, routed.cell, refused);
    return;
  }
  request.cell = routed.cell;
  if (request.spec.durable) {
    CreateRecords(request, "");
  } else {
    Submit(request);
  }
}

Duration EntryCore::Impl::TimeToDeadline(const EntryRequest& request) const {
  if (!request.deadline.has_value()) return Duration(0);
  // Zero means "no deadline", so the result is at least 1 ms.
  return std::max(Duration(1), *request.deadline - now);
}

void EntryCore::Impl::Submit(EntryRequest& request) {
  KnownCell& cell = cells[request.cell];
  cell.id = request.cell;
  request.phase = RequestPhase::kSubmitted;
  request.accepted = false;
  request.returned = false;
  if (request.scheduler != cell.holder) request.unanswered_submissions = 0;
  request.scheduler = cell.holder;
  request.next_poll = now + kAcceptTimeout;
  // If the cell is vacant, OnSchedulerChanged submits the job again.
  if (cell.holder.empty()) return;
  request.sent = true;
  ++request.unanswered_submissions;
  cell.tasks_sent += request.spec.shape.tasks;
  SubmitJob message{request.spec};
  message.spec.deadline = TimeToDeadline(request);
  Send(cell.holder, std::move(message));
  if (request.cancel_requested) Send(cell.holder, CancelJob{request.spec.id});
}

}  // namespace basilspring
