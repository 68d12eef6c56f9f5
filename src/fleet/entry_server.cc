#include "basilspring/fleet/entry_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "basilspring/process/log.h"
#include "fleet/entry_timing.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {

using internal::kRetryAfter;

namespace {

constexpr std::size_t kJobIdLength = 16;
// Timeout assumed for a caller whose request does not state one.
constexpr Duration kDefaultCallerTimeout(3000);
// Part of a caller's timeout that is reserved for the transfer of the answer.
constexpr Duration kAnswerMargin(200);
// Longest time for which requests wait for a current configuration after a pause of the process.
// One read of the store takes less, and callers of urgent work wait.
constexpr Duration kMaxHoldAfterPause(600);
constexpr Duration kSummaryInterval(700);
constexpr Duration kSummaryRetry(200);
constexpr Duration kSummaryTimeout(600);

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isxdigit(c) != 0;
         });
}

}  // namespace

EntryServer::Exchange::~Exchange() = default;

EntryServer::EntryServer(Context context) : context_(std::move(context)) {}

EntryServer::~EntryServer() { *alive_ = false; }

void EntryServer::BeginStop(TimePoint answer_by) {
  stopping_ = true;
  answer_by_ = answer_by;
}

void EntryServer::SetOperatorState(std::shared_ptr<const OperatorState> state) {
  state_ = std::move(state);
}

void EntryServer::OnScheduler(Term term, const Address& scheduler) {
  if (term < term_ || (term == term_ && scheduler == scheduler_)) return;
  Log(EventId::kFleetScheduler, "scheduler={} term={} former_term={}", scheduler.ToString(),
      term.value(), term_.value());
  term_ = term;
  scheduler_ = scheduler;
  next_summary_ = TimePoint();
}

void EntryServer::OnSummary(TimePoint asked_at, const SummaryReply& reply) {
  const TimePoint now = Clock::Now();
  if (!reply.accepted) {
    if (reply.term > term_) OnScheduler(reply.term, reply.scheduler);
    // The process asked has lost the lease or is not ready yet. Clearing the time of the last
    // contact lets the holder of the lease be looked up at once.
    last_contact_ = TimePoint();
    next_summary_ = now + kSummaryRetry;
    return;
  }
  last_contact_ = now;
  summary_ = reply;
  summary_at_ = asked_at;
  known_peers_ = reply.peers;
}

void EntryServer::RefuseOpenRequests() {
  // A copy, because each answer removes its request from the set.
  const std::set<ExchangePtr> open = open_;
  for (const ExchangePtr& exchange : open) {
    // The store may still carry out a write that it has not answered.
    const ErrorKind kind =
        exchange->attempts > 0 ? ErrorKind::kStoreOutcomeUnknown : ErrorKind::kTimeout;
    Refuse(exchange, kind, "this entry is stopping and has no answer yet");
  }
}

void EntryServer::Tick(TimePoint now) {
  if (answer_by_ && now >= *answer_by_ - kAnswerMargin) RefuseOpenRequests();
  ProbeUnavailableStore(now);
  // Without an answer of the store, the last known configuration stays in force.
  if (hold_until_ && now >= *hold_until_) ConfirmConfiguration();
  if (now < next_summary_ || summary_in_flight_) return;
  const SummaryQuery query{context_.node, context_.own_address, term_};
  next_summary_ = now + kSummaryInterval;
  if (SchedulerDriver* local = context_.local_scheduler()) {
    OnSummary(now, local->OnSummary(query));
    return;
  }
  if (scheduler_.empty()) return;
  summary_in_flight_ = true;
  internal::CallPeer<SummaryReply>(
      context_.peers, scheduler_, query, kSummaryTimeout,
      [this, alive = alive_, now](const std::optional<SummaryReply>& reply) {
        if (!*alive) return;
        summary_in_flight_ = false;
        if (reply) {
          OnSummary(now, *reply);
        } else {
          next_summary_ = Clock::Now() + kSummaryRetry;
        }
      });
}

Duration EntryServer::TimeLeft(const Exchange& exchange) const {
  const Duration stated =
      exchange.request.timeout > Duration(0) ? exchange.request.timeout : kDefaultCallerTimeout;
  const Duration timeout = std::min(stated, context_.limits.longest_caller_timeout);
  const TimePoint timeout_at = exchange.received_at + timeout;
  return std::min(timeout_at, answer_by_.value_or(timeout_at)) - kAnswerMargin - Clock::Now();
}

void EntryServer::Answer(const ExchangePtr& exchange, const CallerAnswer& answer) {
  if (exchange->responder == nullptr) return;
  HttpResponse response = context_.format.Encode(answer);
  const Duration elapsed = Clock::Now() - exchange->received_at;
  const auto* refusal = std::get_if<RefusalAnswer>(&answer);
  const auto* phase = std::get_if<JobPhaseAnswer>(&answer);
  const auto* count = std::get_if<PendingAnswer>(&answer);
  Log(EventId::kFleetRequest,
      "job={} action={} queue={} workspace={} config={} status={} phase={} attempts={} took_ms={} "
      "reason=\"{}\"{}",
      exchange->job.value(), static_cast<int>(exchange->request.action), exchange->queue.value(),
      exchange->workspace.value(), exchange->config_version, response.status,
      phase == nullptr ? std::string_view("-") : JobPhaseName(phase->phase), exchange->attempts,
      elapsed.milliseconds(), refusal == nullptr ? "" : refusal->message,
      count == nullptr ? ""
                       : fmt::format(" pending={} age_ms={} summary_term={}", count->pending,
                                     count->age.milliseconds(), summary_.term.value()));
  context_.metrics
      .GetCounter("basilspring_caller_requests_total",
                  fmt::format("action=\"{}\",status=\"{}\"",
                              static_cast<int>(exchange->request.action), response.status),
                  "Callers' requests by action and status.")
      .Add();
  context_.metrics
      .GetHistogram("basilspring_caller_request_ms",
                    fmt::format("action=\"{}\"", static_cast<int>(exchange->request.action)),
                    "Time from reading a caller's request to its answer.")
      .Observe(elapsed);
  exchange->responder->Respond(std::move(response));
  exchange->responder = nullptr;
  open_.erase(exchange);
}

void EntryServer::Refuse(const ExchangePtr& exchange, ErrorKind kind, const std::string& reason,
                         Duration retry_after) {
  Answer(exchange, RefusalAnswer{kind, reason, retry_after});
}

void EntryServer::OnCaller(HttpRequest http, std::shared_ptr<HttpResponder> responder) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request = context_.format.DecodeRequest(std::move(http));
  exchange->responder = std::move(responder);
  exchange->received_at = Clock::Now();
  if (open_.size() >= context_.limits.open_requests) {
    // Nothing has been written for this request, but an earlier attempt may have been accepted.
    Refuse(exchange, ErrorKind::kTimeout, "this entry has too many open requests", kRetryAfter);
    return;
  }
  open_.insert(exchange);
  if (hold_until_ && exchange->received_at < *hold_until_) {
    held_.push_back(exchange);
  } else {
    Handle(exchange);
  }
}

void EntryServer::OnPaused(TimePoint now) { hold_until_ = now + kMaxHoldAfterPause; }

void EntryServer::ConfirmConfiguration() {
  hold_until_.reset();
  for (const ExchangePtr& exchange : std::exchange(held_, {})) Handle(exchange);
}

void EntryServer::Handle(const ExchangePtr& exchange) {
  if (exchange->responder == nullptr) return;
  const CallerRequest& request = exchange->request;
  if (state_ == nullptr) {
    Refuse(exchange, ErrorKind::kNoConfiguration, "no configuration has been read yet",
           kRetryAfter);
    return;
  }
  const FleetConfig& config = state_->config;
  exchange->config_version = config.version;
  const Queue* queue = config.FindQueue(request.host, request.path);
  if (queue == nullptr) {
    Refuse(exchange, ErrorKind::kNotFound, "no queue has this host and path");
    return;
  }
  exchange->queue = queue->id;
  const Workspace* workspace = config.FindWorkspaceByKey(request.api_key);
  if (workspace != nullptr) {
    exchange->workspace = workspace->id;
  } else if (!queue->open_to_all) {
    Refuse(exchange, ErrorKind::kUnauthorized, "no workspace has this key");
    return;
  }
  const std::string job_id = request.path.substr(queue->path_prefix.size());
  if (job_id.empty() && request.action == CallerAction::kQuery) {
    AnswerPendingCount(exchange);
    return;
  }
  if (!IsJobId(job_id)) {
    Refuse(exchange, ErrorKind::kInvalidArgument, "the path does not end with the id of a job");
    return;
  }
  exchange->job = JobId(job_id);
  switch (request.action) {
    case CallerAction::kSubmit:
      Submit(exchange, *queue);
      break;
    case CallerAction::kQuery:
      QueryJob(exchange);
      break;
    case CallerAction::kCancel:
      Cancel(exchange);
      break;
    case CallerAction::kOther:
      Refuse(exchange, ErrorKind::kInvalidArgument, "no such method");
      break;
  }
}

void EntryServer::Cancel(const ExchangePtr& exchange) {
  StoreCall call = StoreCall::Get(StoreKeys::Job(exchange->job));
  CallStore(exchange, call, [this, alive = alive_, exchange](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kNotFound) {
      ForbidJob(exchange);
    } else if (reply.status == StoreStatus::kOk) {
      StoreCancel(exchange);
    } else {
      RetryOrGiveUp(exchange, &EntryServer::Cancel, "the store is away: " + reply.message);
    }
  });
}

void EntryServer::ForbidJob(const ExchangePtr& exchange) {
  const std::string job = StoreKeys::Job(exchange->job);
  StoreCall call = StoreCall::Transaction().If(job, 0).Set(StoreKeys::Cancel(exchange->job), "");
  ++exchange->attempts;
  CallStore(exchange, call, [this, alive = alive_, exchange](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk) {
      Refuse(exchange, ErrorKind::kJobUnknown, "no such job was accepted, and none will be");
    } else if (reply.status == StoreStatus::kConflict) {
      StoreCancel(exchange);
    } else {
      RetryOrGiveUp(exchange, &EntryServer::ForbidJob,
                    "the cancellation may not be stored: " + reply.message);
    }
  });
}

void EntryServer::StoreCancel(const ExchangePtr& exchange) {
  StoreCall call = StoreCall::Transaction().Set(StoreKeys::Cancel(exchange->job), "");
  ++exchange->attempts;
  CallStore(exchange, call, [this, alive = alive_, exchange](const StoreReply& reply) {
    if (!*alive) return;
    if (reply.status == StoreStatus::kOk) {
      NotifyScheduler(reply.revision);
      Answer(exchange, JobPhaseAnswer{JobPhase::kCancelled});
    } else {
      RetryOrGiveUp(exchange, &EntryServer::StoreCancel,
                    "the cancellation may not be stored: " + reply.message);
    }
  });
}

}  // namespace basilspring::fleet
