#include "basilspring/fleet/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <random>
#include <thread>
#include <utility>

#include "basilspring/connection/http_server.h"
#include "basilspring/fleet/agent_core.h"
#include "basilspring/fleet/entry_duty.h"
#include "basilspring/fleet/leadership.h"
#include "basilspring/fleet/peer_client.h"
#include "basilspring/fleet/prefix_watch.h"
#include "basilspring/fleet/scheduler_duty.h"
#include "basilspring/fleet/store_access.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "basilspring/process/metrics.h"
#include "fleet/agent_driver.h"
#include "fleet/peer_call.h"

namespace basilspring::fleet {
namespace {

// Timers of the duty are this exact; an idle process wakes up this often.
constexpr Duration kEntryTick(50);
constexpr Duration kAgentTick(50);
constexpr Duration kPostRetry(5);
// Without contact to a scheduler for this long, a process looks whether there is one. Processes
// with little processor time wait longer, up to the second figure more: the scheduler's work goes
// to a host that can carry it.
constexpr Duration kPatience(1200);
constexpr double kThinHostPatienceMs = 1500;
constexpr double kAmpleProcessorShare = 0.5;
// The cold start has no scheduler to lose.
constexpr Duration kStartPatience(150);
// Spreads the first looks of processes that start together.
constexpr Duration kStartJitter(400);
// The balancer stops sending new connections after two missed questions, a second apart.
constexpr Duration kStopListening(2300);
// Polls of the state of a stopping process.
constexpr Duration kStopPoll(20);

HttpResponse PlainResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(text);
  return response;
}

/// The parts of one process. All state belongs to the duty's thread; handlers of the I/O thread
/// only hand work to it.
class Node {
 public:
  Node(const NodeSettings& settings, const CarrierFactory& make_carriers);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void RunUntilStopped();

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Post(std::function<void()> work);
  void PostAfter(Duration delay, std::function<void()> work);
  void Tick();
  void Listen();
  void OnPeer(const HttpRequest& request, const Responder& responder);
  template <typename Request, typename Handle>
  void Serve(const std::string& body, const Responder& responder, Handle handle);
  template <typename Reply>
  static void Reply200(const Responder& responder, const Reply& reply);
  void RelayStoreCall(const RelayedStoreCall& request, const Responder& responder);
  void OnAnnouncement(const HttpRequest& request, const Responder& responder);
  void OnOperatorItems(const std::vector<StoreItem>& items, bool snapshot);
  void BecomeScheduler(Term term, std::int64_t revision);
  void LoseScheduler();
  void OnScheduler(Term term, const Address& address);
  void SetPeers();
  void UpdateMetrics();
  TimePoint LastContact() const;
  bool Drained() const;

  const NodeSettings settings_;
  const bool entry_role_;
  std::atomic<bool> running_{false};
  std::promise<void> stop_signal_;
  MetricRegistry metrics_;
  IoThread io_;
  std::unique_ptr<Duty> duty_;
  std::unique_ptr<HttpClient> http_;
  Carriers carriers_;
  std::unique_ptr<PeerClient> peers_;
  std::unique_ptr<StoreAccess> store_;
  std::unique_ptr<Leadership> leadership_;
  std::unique_ptr<PrefixWatch> operator_watch_;
  std::shared_ptr<const OperatorState> operators_;
  std::unique_ptr<SchedulerDuty> scheduler_;
  std::unique_ptr<EntryDuty> entry_;
  std::unique_ptr<AgentDriver> agent_;
  Address scheduler_address_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

Node::Node(const NodeSettings& settings, const CarrierFactory& make_carriers)
    : settings_(settings), entry_role_(settings.role == NodeRole::kEntry) {
  io_.OnStopSignal([this] { stop_signal_.set_value(); });
  io_.OnReloadSignal([] {
    // Addresses and limits of a running process don't change; the operators' configuration comes
    // from the store. The next start reads the file anew.
    Log(EventId::kSettingsReloaded, "SIGHUP: the settings take effect at the next start");
  });
  http_ = std::make_unique<HttpClient>(io_);
  carriers_ = make_carriers(*http_, settings_);
  const Executor executor = [this](std::function<void()> work) { Post(std::move(work)); };
  duty_ =
      std::make_unique<Duty>("fleet", entry_role_ ? kEntryTick : kAgentTick, [this] { Tick(); });
  peers_ = std::make_unique<PeerClient>(*http_, executor);
  store_ = std::make_unique<StoreAccess>(*carriers_.store, *peers_, executor);
  SetPeers();
  LeadershipOptions options;
  options.node = settings_.name;
  options.address = settings_.peers;
  const double thin = std::max(0.0, 1.0 - settings_.processor_share / kAmpleProcessorShare);
  const Duration extra(static_cast<std::int64_t>(kThinHostPatienceMs * thin));
  options.patience = kPatience + extra;
  const Duration jitter(
      static_cast<std::int64_t>(std::random_device()() % kStartJitter.milliseconds()));
  options.start_at = Clock::Now() + kStartPatience + extra / 2 + jitter;
  leadership_ = std::make_unique<Leadership>(
      *store_, options,
      Leadership::Handlers{
          [this](Term term, std::int64_t revision) { BecomeScheduler(term, revision); },
          // Later, because the scheduler itself may be the caller.
          [this] { Post([this] { LoseScheduler(); }); },
          [this](const LeaderRecord& record) { OnScheduler(record.term, record.address); }});
  operator_watch_ =
      std::make_unique<PrefixWatch>(*store_, executor, carriers_.operators->Prefix(),
                                    [this](const std::vector<StoreItem>& items, bool snapshot) {
                                      OnOperatorItems(items, snapshot);
                                    });
  if (entry_role_) {
    entry_ = std::make_unique<EntryDuty>(EntryDuty::Context{
        *store_, *peers_, executor,
        [this](Duration delay, std::function<void()> work) { PostAfter(delay, std::move(work)); },
        *carriers_.callers, metrics_, settings_.name, settings_.peers,
        [this] { return scheduler_.get(); }});
  } else {
    FleetAgentOptions agent;
    agent.node = settings_.name;
    agent.address = settings_.peers;
    agent.incarnation = (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
    agent_ =
        std::make_unique<AgentDriver>(AgentDriver::Context{*carriers_.backend, *peers_, executor,
                                                           [this] { leadership_->LookNow(); },
                                                           [this] { return scheduler_.get(); }},
                                      agent);
  }
  running_ = true;
  Post([this] {
    if (entry_role_) operator_watch_->Start();
  });
  Listen();
}

Node::~Node() {
  running_ = false;
  std::promise<void> idle;
  while (!duty_->TryPost([&idle] { idle.set_value(); })) {
  }
  idle.get_future().wait();
  duty_->Stop();
  servers_.clear();
  agent_.reset();
  entry_.reset();
  scheduler_.reset();
  operator_watch_.reset();
  leadership_.reset();
  store_.reset();
  peers_.reset();
  carriers_ = Carriers();
  http_.reset();
}

void Node::Post(std::function<void()> work) {
  auto shared = std::make_shared<std::function<void()>>(std::move(work));
  const bool posted = duty_->TryPost([this, shared] {
    if (running_) (*shared)();
  });
  if (posted || !running_) return;
  Log(EventId::kQueueFull, "queue=fleet");
  io_.PostAfter(kPostRetry, [this, shared] { Post([shared] { (*shared)(); }); });
}

void Node::PostAfter(Duration delay, std::function<void()> work) {
  io_.PostAfter(delay, [this, work = std::move(work)]() mutable { Post(std::move(work)); });
}

void Node::SetPeers() {
  std::vector<Address> peers;
  const auto add = [&](const Address& address) {
    const bool known = std::find(peers.begin(), peers.end(), address) != peers.end();
    if (!address.empty() && address != settings_.peers && !known) peers.push_back(address);
  };
  add(scheduler_address_);
  if (entry_) {
    for (const Address& address : entry_->known_peers()) add(address);
  }
  // All processes use the same port for each other.
  for (const Address& seed : settings_.seeds) add(Address{seed.ip, settings_.peers.port});
  store_->SetPeers(std::move(peers));
}

void Node::OnOperatorItems(const std::vector<StoreItem>& items, bool snapshot) {
  auto state = std::make_shared<OperatorState>();
  if (operators_) *state = *operators_;
  if (snapshot) state->evacuated.clear();
  for (const StoreItem& item : items) {
    if (const auto fault = carriers_.operators->Apply(item, *state)) {
      Log(EventId::kFleetConfiguration, "ignored: {}", *fault);
    }
  }
  const std::int64_t before = operators_ ? operators_->config.version : 0;
  const std::size_t evacuated_before = operators_ ? operators_->evacuated.size() : 0;
  if (state->config.version != before || state->evacuated.size() != evacuated_before) {
    Log(EventId::kFleetConfiguration,
        "version={} former={} revision={} queues={} workspaces={} evacuated={}",
        state->config.version, before, operator_watch_->revision(), state->config.queues.size(),
        state->config.workspaces.size(), state->evacuated.size());
  }
  operators_ = state;
  if (state->config.version == 0) return;
  if (entry_) entry_->SetOperatorState(operators_);
  if (scheduler_) scheduler_->SetOperatorState(operators_);
}

void Node::BecomeScheduler(Term term, std::int64_t revision) {
  scheduler_ = std::make_unique<SchedulerDuty>(
      SchedulerDuty::Context{
          *store_, *peers_, metrics_, [this](std::function<void()> work) { Post(std::move(work)); },
          [this](Duration delay, std::function<void()> work) { PostAfter(delay, std::move(work)); },
          settings_.peers, settings_.scheduler, [this] { return leadership_->valid_until(); },
          [this](const std::string& reason) { leadership_->Depose(reason); }},
      term, revision);
  if (operators_ && operators_->config.version != 0) {
    scheduler_->SetOperatorState(operators_);
  } else if (!entry_role_) {
    operator_watch_->Start();
  }
  OnScheduler(term, settings_.peers);
}

void Node::LoseScheduler() {
  if (!leadership_->leading()) scheduler_.reset();
}

void Node::OnScheduler(Term term, const Address& address) {
  scheduler_address_ = address;
  if (entry_) entry_->OnScheduler(term, address);
  if (agent_) agent_->OnScheduler(term, address);
  SetPeers();
}

TimePoint Node::LastContact() const {
  return entry_ ? entry_->last_contact() : agent_->last_contact();
}

void Node::Tick() {
  if (!running_) return;
  const TimePoint now = Clock::Now();
  leadership_->Tick(now, LastContact());
  if (entry_role_ || scheduler_) operator_watch_->Tick(now);
  if (scheduler_) scheduler_->Tick(now);
  if (entry_) entry_->Tick(now);
  if (agent_) agent_->Tick(now);
}

void Node::Listen() {
  const auto on_duty = [this](auto handle) {
    return [this, handle](HttpRequest request, Responder responder) {
      Post([handle, request = std::move(request), responder = std::move(responder)]() mutable {
        handle(std::move(request), std::move(responder));
      });
    };
  };
  HttpLimits peer_limits;
  peer_limits.max_body_bytes = 8 * 1024 * 1024;
  servers_.push_back(std::make_unique<HttpServer>(
      io_, settings_.peers, on_duty([this](const HttpRequest& request, const Responder& responder) {
        OnPeer(request, responder);
      }),
      peer_limits));
  if (entry_) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, settings_.callers, on_duty([this](HttpRequest request, Responder responder) {
          entry_->OnCaller(std::move(request), std::move(responder));
        })));
    servers_.push_back(std::make_unique<HttpServer>(
        io_, settings_.readiness, on_duty([this](const HttpRequest&, const Responder& responder) {
          responder->Respond(entry_->ready() ? PlainResponse(200, "ready\n")
                                             : PlainResponse(503, "not ready\n"));
        })));
  }
  if (agent_) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, settings_.announcements,
        on_duty([this](const HttpRequest& request, const Responder& responder) {
          OnAnnouncement(request, responder);
        })));
  }
  if (!settings_.metrics.empty()) {
    servers_.push_back(std::make_unique<HttpServer>(
        io_, settings_.metrics, on_duty([this](const HttpRequest&, const Responder& responder) {
          UpdateMetrics();
          responder->Respond(PlainResponse(200, metrics_.Render()));
        })));
  }
}

template <typename Reply>
void Node::Reply200(const Responder& responder, const Reply& reply) {
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
    Log(EventId::kFleetPeer, "path={} unreadable request: {}", Request::kPath, error.what());
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
            report, [responder](const AgentReportReply& reply) { Reply200(responder, reply); });
        return;
      }
      AgentReportReply reply;
      reply.scheduler = scheduler_address_ == settings_.peers ? Address() : scheduler_address_;
      Reply200(responder, reply);
    });
  } else if (request.path == OrderBatch::kPath && agent_) {
    Serve<OrderBatch>(request.body, responder, [&](const OrderBatch& batch) {
      OnScheduler(batch.term, batch.scheduler);
      agent_->OnOrders(batch,
                       [responder](const OrderBatchReply& reply) { Reply200(responder, reply); });
    });
  } else if (request.path == JobQuery::kPath) {
    Serve<JobQuery>(request.body, responder, [&](const JobQuery& query) {
      Reply200(responder, scheduler_ ? scheduler_->OnQuery(query) : JobQueryReply());
    });
  } else if (request.path == SummaryQuery::kPath) {
    Serve<SummaryQuery>(request.body, responder, [&](const SummaryQuery& query) {
      Reply200(responder, scheduler_ ? scheduler_->OnSummary(query) : SummaryReply());
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
  store_->CallForPeer(request.call, [responder](const StoreReply& reply) {
    RelayedStoreReply relayed;
    relayed.status = static_cast<std::uint8_t>(reply.status);
    relayed.items = reply.items;
    relayed.revision = reply.revision;
    relayed.more = reply.more;
    relayed.lease = reply.lease;
    relayed.lease_time = reply.lease_time;
    relayed.message = reply.message;
    Reply200(responder, relayed);
  });
}

void Node::OnAnnouncement(const HttpRequest& request, const Responder& responder) {
  const AnnouncementCall call = carriers_.announcements->Decode(request);
  if (const auto* fault = std::get_if<NotAnAnnouncement>(&call)) {
    Log(EventId::kFleetAgent, "path={} is no announcement: {}", request.path, fault->reason);
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

void Node::UpdateMetrics() {
  const auto set = [this](const char* name, std::uint64_t value) {
    metrics_.GetGauge(name).Set(static_cast<std::int64_t>(value));
  };
  set("basilspring_store_direct_calls", store_->counts().direct_calls);
  set("basilspring_store_relayed_calls", store_->counts().relayed_calls);
  set("basilspring_store_failures", store_->counts().failures);
  set("basilspring_scheduler_holds_lease", scheduler_ ? 1 : 0);
  set("basilspring_config_version",
      operators_ ? static_cast<std::uint64_t>(operators_->config.version) : 0);
  if (!scheduler_) return;
  const SchedulerCounts& counts = scheduler_->core().counts();
  set("basilspring_runs_started", counts.runs_started);
  set("basilspring_starts_refused", counts.starts_refused);
  set("basilspring_runs_done", counts.runs_done);
  set("basilspring_runs_failed", counts.runs_failed);
  set("basilspring_runs_lost", counts.runs_lost);
  set("basilspring_runs_preempted", counts.runs_preempted);
  set("basilspring_runs_stalled", counts.runs_stalled);
  set("basilspring_jobs_completed", counts.jobs_completed);
  set("basilspring_jobs_failed", counts.jobs_failed);
  set("basilspring_jobs_cancelled", counts.jobs_cancelled);
  set("basilspring_wasted_core_ms", counts.wasted_core_ms);
}

bool Node::Drained() const { return entry_ ? entry_->open_requests() == 0 : !agent_->busy(); }

void Node::RunUntilStopped() {
  Log(EventId::kProcessStarted, "role={} peers={} store={} data_centre={}",
      entry_role_ ? "entry" : "agent", settings_.peers.ToString(), settings_.store.ToString(),
      settings_.data_centre.value());
  stop_signal_.get_future().wait();
  Log(EventId::kProcessStopping, "role={} drain_limit_ms={}", entry_role_ ? "entry" : "agent",
      settings_.drain_limit.milliseconds());
  const TimePoint begun = Clock::Now();
  Post([this] {
    if (entry_) entry_->BeginStop();
    leadership_->Resign();
  });
  bool drained = false;
  while (!drained && Clock::Now() - begun < settings_.drain_limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStopPoll.milliseconds()));
    const bool waits_for_balancer = entry_role_ && Clock::Now() - begun < kStopListening;
    std::promise<bool> idle;
    Post([this, &idle] { idle.set_value(Drained()); });
    drained = idle.get_future().get() && !waits_for_balancer;
  }
  for (const auto& server : servers_) server->StopAccepting();
  Log(EventId::kProcessStopped, "role={} drained={}", entry_role_ ? "entry" : "agent", drained);
}

}  // namespace

int RunNode(const NodeSettings& settings, const CarrierFactory& make_carriers) {
  Node node(settings, make_carriers);
  node.RunUntilStopped();
  return 0;
}

}  // namespace basilspring::fleet
