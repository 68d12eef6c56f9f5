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

// How long a scheduler may take to accept a job before it is asked whether it has it.
constexpr Duration kAcceptWait = Duration(2000);

std::uint64_t HashOf(const std::string& payload) {
  return XXH64(payload.data(), payload.size(), 0);
}

bool SameRequest(const EntryRequest& first, const JobSpec& spec) {
  return first.payload_hash == HashOf(spec.payload) && first.spec.shape == spec.shape &&
         first.spec.job_class == spec.job_class && first.spec.idempotent == spec.idempotent;
}

// Whether a repeated request starts a new job instead of getting the result of the first one.
bool CanStartAgain(const EntryRequest& first) {
  const ErrorRow& row = ErrorInfo(first.result.error);
  return first.phase == RequestPhase::kFinished && row.outcome == RunOutcome::kNotRun &&
         row.retryable;
}

std::string Join(const std::vector<std::string>& lines) {
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

void EntryCore::Impl::On(const SubmitRequest& event) {
  LogLine(EventId::kRequestReceived, DescribeJob(event.spec));
  if (AttachToFirst(event) || RefuseEarly(event)) return;
  EntryRequest& request = requests[event.spec.id];
  request.spec = event.spec;
  request.received = now;
  request.payload_hash = HashOf(event.spec.payload);
  if (event.spec.deadline > Duration(0)) request.deadline = now + event.spec.deadline;
  keys[{event.spec.workspace, event.spec.request_key}] = event.spec.id;
  ++unfinished;
  payload_bytes += event.spec.payload.size();
  AddWaiter(request, event.caller, event.wait);
  Start(request);
}

bool EntryCore::Impl::AttachToFirst(const SubmitRequest& event) {
  const auto key = keys.find({event.spec.workspace, event.spec.request_key});
  if (key == keys.end()) return false;
  EntryRequest* const first = Find(key->second);
  if (first == nullptr || CanStartAgain(*first)) {
    keys.erase(key);
    return false;
  }
  if (!SameRequest(*first, event.spec)) {
    ReplyError(event.caller, event.spec.id, ErrorKind::kInvalidArgument,
               fmt::format("key is \"{}\", which was used in this workspace for a request with "
                           "another payload, shape, class or idempotent flag; allowed: a new key",
                           event.spec.request_key.value()));
    return true;
  }
  AddWaiter(*first, event.caller, event.wait);
  return true;
}

bool EntryCore::Impl::RefuseEarly(const SubmitRequest& event) {
  if (stopping) {
    ReplyError(event.caller, event.spec.id, ErrorKind::kShuttingDown, "this entry is stopping");
  } else if (unfinished >= options.max_requests) {
    ReplyError(
        event.caller, event.spec.id, ErrorKind::kOverloaded,
        fmt::format("{} requests are in flight; allowed: {}", unfinished, options.max_requests));
  } else if (payload_bytes + event.spec.payload.size() > options.max_payload_bytes) {
    ReplyError(event.caller, event.spec.id, ErrorKind::kOverloaded,
               fmt::format("the payloads in flight have {} bytes; allowed: {}", payload_bytes,
                           options.max_payload_bytes));
  } else if (Find(event.spec.id) != nullptr) {
    ReplyError(event.caller, event.spec.id, ErrorKind::kConflict, "the job id is in use");
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
  callers[caller] = request.spec.id;
  request.waiters.push_back({caller, now + wait, streams_progress});
}

RoutingResult EntryCore::Impl::Route(const EntryRequest& request) {
  std::vector<CellCandidate> candidates;
  for (const auto& [id, cell] : cells) {
    if (!cell.summary.has_value()) continue;
    CellCandidate& candidate = candidates.emplace_back();
    candidate.summary = *cell.summary;
    candidate.in_service = configuration.out_of_service.count(cell.summary->data_centre) == 0;
    const bool local = cell.summary->region == options.region;
    const Duration age = local ? options.summary_age : options.remote_summary_age;
    candidate.current =
        cell.summary->epoch == cell.epoch && !cell.holder.empty() && now - cell.heard <= age;
    candidate.tasks_sent = cell.tasks_sent;
  }
  RoutingInput input;
  input.job = &request.spec;
  input.now = now;
  input.region = options.region;
  input.cells = &candidates;
  input.link = &link;
  input.avoid = request.tried;
  return RouteJob(input);
}

void EntryCore::Impl::Start(EntryRequest& request) {
  RoutingResult result = Route(request);
  if (const auto* const routed = std::get_if<Routed>(&result)) {
    StartIn(request, *routed);
    return;
  }
  auto& refusal = std::get<NotRouted>(result);
  request.routing = refusal.candidates;
  const bool temporary = refusal.kind == ErrorKind::kNoScheduler;
  if (temporary && !cells.empty() && now < request.received + options.cell_wait) {
    request.phase = RequestPhase::kParked;
    return;
  }
  LogLine(EventId::kRequestRouted,
          fmt::format("{} cell=none reason=\"{}\" candidates=[{}]", DescribeJob(request.spec),
                      refusal.reason, Join(refusal.candidates)));
  JobResult end;
  end.error = refusal.kind;
  end.message = refusal.reason;
  if (ErrorInfo(refusal.kind).retryable) end.retry_after = Duration(1000);
  Finish(request, std::move(end));
}

void EntryCore::Impl::StartIn(EntryRequest& request, const Routed& routed, bool refused) {
  request.routing = routed.candidates;
  LogLine(EventId::kRequestRouted,
          fmt::format("{} cell={} reason=\"{}\" link_bytes={} candidates=[{}]",
                      DescribeJob(request.spec), routed.cell.value(), routed.reason,
                      routed.link_bytes, Join(routed.candidates)));
  if (routed.link_bytes > 0) link.TryTake(now, routed.link_bytes);
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

Duration EntryCore::Impl::Remaining(const EntryRequest& request) const {
  if (!request.deadline.has_value()) return Duration(0);
  // Zero would mean "no deadline".
  return std::max(Duration(1), *request.deadline - now);
}

void EntryCore::Impl::Submit(EntryRequest& request) {
  KnownCell& cell = cells[request.cell];
  cell.id = request.cell;
  request.phase = RequestPhase::kSubmitted;
  request.accepted = false;
  request.scheduler = cell.holder;
  request.next_poll = now + kAcceptWait;
  // A vacant cell gets the job when its next scheduler is known.
  if (cell.holder.empty()) return;
  request.sent = true;
  cell.tasks_sent += request.spec.shape.tasks;
  SubmitJob message{request.spec};
  message.spec.deadline = Remaining(request);
  Send(cell.holder, std::move(message));
  if (request.cancel_requested) Send(cell.holder, CancelJob{request.spec.id});
}

}  // namespace basilspring
