#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "basilspring/process/log.h"
#include "fleet/node_process.h"
#include "fleet/peer_call.h"

// HTTP requests to a process: of callers, other processes, its backend server and metrics readers.
namespace basilspring::fleet {
namespace {

// Interval in which a peer's waiting watch looks for a newer change.
constexpr Duration kMirrorPoll(50);
// A process whose watch was last answered longer ago than this may have missed changes. It covers
// the waiting time of a watch and the transfer of a large change.
constexpr Duration kMaxMirrorAge(3000);

RelayedStoreReply ToRelayedReply(const StoreReply& reply) {
  RelayedStoreReply relayed;
  relayed.status = static_cast<std::uint8_t>(reply.status);
  relayed.items = reply.items;
  relayed.revision = reply.revision;
  relayed.more = reply.more;
  relayed.lease = reply.lease;
  relayed.lease_time = reply.lease_time;
  relayed.message = reply.message;
  return relayed;
}

HttpResponse PlainResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(text);
  return response;
}

}  // namespace

void Node::Listen() {
  const auto on_state_thread = [this](auto handle) {
    return [this, handle](HttpRequest request, Responder responder) {
      Post([handle, request = std::move(request), responder = std::move(responder)]() mutable {
        handle(std::move(request), std::move(responder));
      });
    };
  };
  const auto listen = [&](const char* name, const Address& address, HttpServer::Handler handler,
                          const HttpLimits& limits = {}) {
    servers_.push_back(std::make_unique<HttpServer>(io_, address, std::move(handler), limits,
                                                    connection_budget_, name));
  };
  HttpLimits peer_limits;
  peer_limits.max_body_bytes = 8 * 1024 * 1024;
  listen("peers", settings_.peers,
         on_state_thread([this](const HttpRequest& request, const Responder& responder) {
           OnPeer(request, responder);
         }),
         peer_limits);
  if (entry_) {
    HttpLimits caller_limits;
    caller_limits.overload_outcome_unknown = true;
    listen("callers", settings_.callers,
           on_state_thread([this](HttpRequest request, Responder responder) {
             entry_->OnCaller(std::move(request), std::move(responder));
           }),
           caller_limits);
    listen("readiness", settings_.readiness,
           on_state_thread([this](const HttpRequest&, const Responder& responder) {
             responder->Respond(entry_->ready() ? PlainResponse(200, "ready\n")
                                                : PlainResponse(503, "not ready\n"));
           }));
  }
  if (agent_) {
    listen("announcements", settings_.announcements,
           on_state_thread([this](const HttpRequest& request, const Responder& responder) {
             OnAnnouncement(request, responder);
           }));
  }
  if (!settings_.metrics.empty()) {
    listen("metrics", settings_.metrics,
           on_state_thread([this](const HttpRequest&, const Responder& responder) {
             UpdateMetrics();
             responder->Respond(PlainResponse(200, metrics_.Render()));
           }));
  }
}

template <typename Reply>
void Node::RespondOk(const Responder& responder, const Reply& reply) {
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = internal::EncodePeerBody(reply);
  responder->Respond(std::move(response));
}

template <typename Request, typename Handle>
void Node::Serve(const std::string& body, const Responder& responder, Handle handle) {
  Request request;
  try {
    request = internal::DecodePeerBody<Request>(body);
  } catch (const Error& error) {
    Log(EventId::kFleetPeer, "path={} request can't be decoded: {}", Request::kPath, error.what());
    responder->Respond(PlainResponse(400, error.what()));
    return;
  }
  handle(request);
}

void Node::OnPeer(const HttpRequest& request, const Responder& responder) {
  if (request.path == AgentReport::kPath) {
    Serve<AgentReport>(request.body, responder, [&](const AgentReport& report) {
      if (scheduler_) {
        scheduler_->OnReport(
            report, [responder](const AgentReportReply& reply) { RespondOk(responder, reply); });
        return;
      }
      AgentReportReply reply;
      reply.scheduler = scheduler_address_ == settings_.advertised ? Address() : scheduler_address_;
      RespondOk(responder, reply);
    });
  } else if (request.path == OrderBatch::kPath && agent_) {
    Serve<OrderBatch>(request.body, responder, [&](OrderBatch& batch) {
      ReadTarget(request.query, batch);
      OnScheduler(batch.term, batch.scheduler);
      agent_->OnOrders(batch,
                       [responder](const OrderBatchReply& reply) { RespondOk(responder, reply); });
    });
  } else if (request.path == JobQuery::kPath) {
    Serve<JobQuery>(request.body, responder, [&](const JobQuery& query) {
      RespondOk(responder, scheduler_ ? scheduler_->OnQuery(query) : JobQueryReply());
    });
  } else if (request.path == SummaryQuery::kPath) {
    Serve<SummaryQuery>(request.body, responder, [&](const SummaryQuery& query) {
      RespondOk(responder, scheduler_ ? scheduler_->OnSummary(query) : SummaryReply());
    });
  } else if (request.path == InboxNotice::kPath) {
    Serve<InboxNotice>(request.body, responder, [&](const InboxNotice& notice) {
      if (scheduler_) scheduler_->OnInboxNotice(notice);
      InboxNoticeReply reply;
      reply.accepted = scheduler_ != nullptr;
      RespondOk(responder, reply);
    });
  } else if (request.path == RelayedStoreCall::kPath) {
    Serve<RelayedStoreCall>(request.body, responder,
                            [&](const RelayedStoreCall& call) { RelayStoreCall(call, responder); });
  } else {
    responder->Respond(PlainResponse(404, "no such path\n"));
  }
}

void Node::RelayStoreCall(const RelayedStoreCall& request, const Responder& responder) {
  if (request.call.operation > static_cast<std::uint8_t>(StoreOperation::kEndLease)) {
    responder->Respond(PlainResponse(400, "no such operation\n"));
    return;
  }
  const bool follows_operators = (entry_role_ || scheduler_) && operator_watch_->loaded();
  if (follows_operators && operator_mirror_->Covers(request.call)) {
    AnswerFromMirror(request.call, request.call.wait, responder);
    return;
  }
  store_->CallForPeer(request.call, [responder](const StoreReply& reply) {
    RespondOk(responder, ToRelayedReply(reply));
  });
}

void Node::AnswerFromMirror(const StoreCall& call, Duration wait, const Responder& responder) {
  StoreReply reply;
  // Two processes without a way to the store must not confirm to each other that they are current.
  const Duration age = Clock::Now() - operator_watch_->current_at();
  if (!store_->ReachesStore() || age > kMaxMirrorAge) {
    reply.status = StoreStatus::kUnavailable;
    reply.message = "this process does not follow the operators' changes at present";
  } else if (auto answer = operator_mirror_->Answer(call, operator_watch_->revision())) {
    reply = std::move(*answer);
  } else if (wait > Duration(0)) {
    PostAfter(kMirrorPoll, [this, call, wait, responder] {
      AnswerFromMirror(call, wait - kMirrorPoll, responder);
    });
    return;
  } else {
    reply.status = StoreStatus::kOk;
    reply.revision = std::max(call.after_revision, operator_watch_->revision());
  }
  RespondOk(responder, ToRelayedReply(reply));
}

void Node::OnAnnouncement(const HttpRequest& request, const Responder& responder) {
  const DecodedAnnouncement call = adapters_.announcements->Decode(request);
  if (const auto* fault = std::get_if<InvalidAnnouncement>(&call)) {
    Log(EventId::kFleetAgent, "path={} is not an announcement: {}", request.path, fault->reason);
    responder->Respond(PlainResponse(fault->status, fault->reason));
    return;
  }
  if (const auto* leave = std::get_if<BackendLeave>(&call)) {
    agent_->OnLeave(leave->id);
  } else {
    agent_->OnAnnouncement(std::get<BackendAnnouncement>(call));
  }
  HttpResponse response;
  response.body = "{}";
  responder->Respond(std::move(response));
}

void Node::UpdateConnectionMetrics() {
  const ConnectionBudget& budget = *connection_budget_;
  metrics_.GetGauge("basilspring_connections", "", "Accepted connections that are open.")
      .Set(static_cast<std::int64_t>(budget.connections()));
  metrics_
      .GetGauge("basilspring_connection_bytes", "",
                "Bytes held by accepted connections and the requests being handled.")
      .Set(static_cast<std::int64_t>(budget.bytes()));
  for (const BudgetCause cause :
       {BudgetCause::kMemory, BudgetCause::kConnections, BudgetCause::kDescriptors}) {
    metrics_
        .GetGauge("basilspring_connections_over_budget",
                  fmt::format("cause=\"{}\"", BudgetCauseName(cause)),
                  "Connections closed because a limit of all connections was reached.")
        .Set(static_cast<std::int64_t>(budget.closed(cause)));
  }
}

void Node::UpdateMetrics() {
  UpdateConnectionMetrics();
  const auto set = [this](const char* name, std::uint64_t value) {
    metrics_.GetGauge(name).Set(static_cast<std::int64_t>(value));
  };
  set("basilspring_store_direct_calls", store_->counts().direct_calls);
  set("basilspring_store_relayed_calls", store_->counts().relayed_calls);
  set("basilspring_store_failures", store_->counts().direct_failures);
  set("basilspring_scheduler_holds_lease", scheduler_ ? 1 : 0);
  set("basilspring_config_version",
      operator_state_ ? static_cast<std::uint64_t>(operator_state_->config.version) : 0);
  if (operator_watch_->loaded()) {
    // A host that can't follow the operators' changes shows a growing age.
    set("basilspring_config_age_ms",
        static_cast<std::uint64_t>(std::max<std::int64_t>(
            0, (Clock::Now() - operator_watch_->current_at()).milliseconds())));
  }
  if (!scheduler_) return;
  std::int64_t pending = 0;
  for (const QueueSummary& queue : scheduler_->core().Summaries()) pending += queue.pending;
  metrics_.GetGauge("basilspring_jobs_pending").Set(pending);
  const SchedulerCounts& counts = scheduler_->core().counts();
  set("basilspring_starts_planned", counts.starts_planned);
  set("basilspring_runs_started", counts.runs_started);
  set("basilspring_starts_refused", counts.starts_refused);
  set("basilspring_starts_contradicted", counts.starts_contradicted);
  set("basilspring_runs_done", counts.runs_done);
  set("basilspring_runs_failed", counts.runs_failed);
  set("basilspring_runs_lost", counts.runs_lost);
  set("basilspring_crashes_counted", counts.crashes_counted);
  set("basilspring_runs_preempted", counts.runs_preempted);
  set("basilspring_runs_stalled", counts.runs_stalled);
  set("basilspring_preemptions_declined", counts.preemptions_declined);
  set("basilspring_reservations_moved", counts.reservations_moved);
  set("basilspring_reservations_extended", counts.reservations_extended);
  set("basilspring_jobs_completed", counts.jobs_completed);
  set("basilspring_jobs_failed", counts.jobs_failed);
  set("basilspring_jobs_cancelled", counts.jobs_cancelled);
  set("basilspring_wasted_core_ms", counts.wasted_core_ms);
  set("basilspring_steps_ready", counts.steps_ready);
  set("basilspring_steps_blocked", counts.steps_blocked);
  set("basilspring_workers_on_probation", counts.workers_on_probation);
  for (const auto& [service, state] : scheduler_->core().urgent_headroom().services()) {
    const std::string label = fmt::format("service=\"{}\"", service.value());
    const auto set_of_service = [&](const char* name, double value) {
      metrics_.GetGauge(name, label).Set(std::llround(value));
    };
    constexpr double kPercent = 100;
    set_of_service("basilspring_urgent_kept_free", static_cast<double>(state.kept_free));
    set_of_service("basilspring_urgent_level", state.level);
    set_of_service("basilspring_urgent_swing", state.swing);
    set_of_service("basilspring_urgent_pressure_percent", state.pressure * kPercent);
  }
}

}  // namespace basilspring::fleet
