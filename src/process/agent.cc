#include "basilspring/process/agent.h"

#include <atomic>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

#include "basilspring/connection/backend_client.h"
#include "basilspring/connection/http_client.h"
#include "basilspring/connection/http_server.h"
#include "basilspring/connection/store_client.h"
#include "basilspring/connection/transport.h"
#include "basilspring/error.h"
#include "basilspring/process/agent_core.h"
#include "basilspring/process/cell_duty.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/io_thread.h"
#include "basilspring/process/log.h"
#include "basilspring/process/metrics.h"
#include "basilspring/process/process_settings.h"

namespace basilspring {
namespace {

// Far shorter than every period of the protocols. Costs 40 wake-ups per second.
constexpr Duration kTickInterval(25);
// A full queue drains within milliseconds.
constexpr Duration kPostRetryDelay(10);
// Part of the drain limit that the cell scheduler may use to complete writes in flight.
constexpr Duration kMaxReleaseTime = Duration::Seconds(5);

template <typename T, typename... Types>
constexpr bool kIsOneOf = (std::is_same_v<T, Types> || ...);

/// Whether the message is addressed to the cell scheduler in this process, not to its worker.
bool IsForScheduler(const Message& message) {
  return std::visit(
      [](const auto& concrete) {
        return kIsOneOf<std::decay_t<decltype(concrete)>, SubmitJob, CancelJob, QueryJob,
                        EntryHello, ConfigurationUpdate, Permit, AgentReport, Heartbeat, Prepared,
                        TaskStarted, TaskDone, TaskStopped>;
      },
      message);
}

AgentOptions OptionsOf(const ProcessSettings& settings) {
  AgentOptions options;
  options.worker = WorkerId(settings.name.value());
  options.rack = settings.rack;
  options.cell = settings.cell;
  options.address = settings.listen;
  options.incarnation =
      Incarnation((std::uint64_t{std::random_device()()} << 32U) | std::random_device()());
  options.entries = settings.entries;
  options.timings = settings.timings;
  options.drain_limit = settings.drain_limit;
  return options;
}

HttpResponse TextResponse(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(text);
  return response;
}

/// One agent process. Its handlers on the I/O thread only post events to the worker thread
/// (`duty_`), which alone uses `core_`.
class AgentProcess {
 public:
  explicit AgentProcess(const ProcessSettings& settings);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  void RunUntilStopped();

 private:
  /// Posts an event to the worker thread. Retries while its queue is full, because the result of a
  /// backend call is delivered only once.
  void Post(AgentEvent event);
  void PostWithRetry(const std::shared_ptr<AgentEvent>& event);
  void Handle(const AgentEvent& event);
  void Execute(AgentOutput& out);
  void UpdateMetrics();
  void UpdateTransportMetrics();
  void OnMessage(const Address& from, Message message);
  void OnHttp(const HttpRequest& request, HttpResponder& responder);
  void Drain();
  void SetGauge(const std::string& name, std::uint64_t value, const std::string& labels = "");

  const ProcessSettings& settings_;
  std::atomic<bool> running_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drained_{false};
  std::promise<void> stop_signal_;
  MetricRegistry metrics_;
  AgentCore core_;
  IoThread io_;
  std::unique_ptr<Duty> duty_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<BackendClient> backend_;
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<Transport> transport_;
  std::unique_ptr<CellDuty> cell_;
  std::unique_ptr<HttpServer> server_;
};

AgentProcess::AgentProcess(const ProcessSettings& settings)
    : settings_(settings), core_(OptionsOf(settings)) {
  io_.OnStopSignal([this] { stop_signal_.set_value(); });
  duty_ = std::make_unique<Duty>("worker", kTickInterval, [this] { Handle(AgentTick{}); });
  http_ = std::make_unique<HttpClient>(io_);
  backend_ = std::make_unique<BackendClient>(*http_);
  store_ = std::make_unique<StoreClient>(io_, *http_, settings.store);
  transport_ = std::make_unique<Transport>(
      io_, settings.name, settings.listen,
      [this](const Address& from, Message message) { OnMessage(from, std::move(message)); });
  cell_ = std::make_unique<CellDuty>(settings, *transport_, *store_, metrics_);
  cell_->SetEntries(settings.entries);
  server_ = std::make_unique<HttpServer>(
      io_, settings.http,
      [this](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
        OnHttp(request, *responder);
      },
      HttpLimits(),
      std::make_shared<ConnectionBudget>(
          ConnectionLimits{ConnectionLimits().memory_bytes,
                           ConnectionsWithinProcessLimit(ConnectionLimits().connections)}),
      "agent");
  running_ = true;
}

AgentProcess::~AgentProcess() {
  // Once the worker thread has run this function, it ignores all events, so the members that it
  // uses can be destroyed. `duty_` itself is destroyed last, because handlers on the I/O thread
  // still post to it.
  running_ = false;
  std::promise<void> worker_idle;
  while (!duty_->TryPost([&worker_idle] { worker_idle.set_value(); })) {
  }
  worker_idle.get_future().wait();
  server_.reset();
  cell_.reset();
  transport_.reset();
  store_.reset();
  backend_.reset();
  http_.reset();
}

void AgentProcess::Post(AgentEvent event) {
  PostWithRetry(std::make_shared<AgentEvent>(std::move(event)));
}

void AgentProcess::PostWithRetry(const std::shared_ptr<AgentEvent>& event) {
  if (!running_ || duty_->TryPost([this, event] { Handle(*event); })) return;
  Log(EventId::kQueueFull, "queue=worker");
  io_.PostAfter(kPostRetryDelay, [this, event] { PostWithRetry(event); });
}

void AgentProcess::Handle(const AgentEvent& event) {
  if (!running_) return;
  AgentOutput out;
  core_.Handle(Clock::Now(), event, out);
  Execute(out);
  if (std::holds_alternative<AgentTick>(event)) UpdateMetrics();
  drained_ = core_.Drained();
}

void AgentProcess::Execute(AgentOutput& out) {
  for (const AgentLogLine& line : out.log) Log(line.event, "{}", line.text);
  for (const ErrorKind kind : out.refusals) {
    metrics_
        .GetCounter("basilspring_agent_refusals_total",
                    fmt::format("kind=\"{}\"", ErrorInfo(kind).name),
                    "Commands of cell schedulers that were refused.")
        .Add();
  }
  for (const OutgoingMessage& message : out.messages) {
    // A message that the full queue rejects can be dropped: the core resends what must arrive.
    if (message.datagram) {
      transport_->SendDatagram(message.to, message.message);
    } else if (!transport_->Send(message.to, message.message)) {
      Log(EventId::kQueueFull, "queue=transport peer={} message={}", message.to.ToString(),
          MessageName(message.message));
    }
  }
  for (const BackendCall& call : out.calls) {
    backend_->Run(call, [this](BackendResult result) { Post(std::move(result)); });
  }
  if (out.entries) cell_->SetEntries(*out.entries);
  if (out.contend) cell_->Contend(out.contend->last_epoch);
}

void AgentProcess::SetGauge(const std::string& name, std::uint64_t value,
                            const std::string& labels) {
  metrics_.GetGauge(name, labels).Set(static_cast<std::int64_t>(value));
}

void AgentProcess::UpdateMetrics() {
  const AgentCounts counts = core_.counts();
  SetGauge("basilspring_agent_tasks", counts.prepared, "state=\"prepared\"");
  SetGauge("basilspring_agent_tasks", counts.running, "state=\"running\"");
  SetGauge("basilspring_agent_tasks", counts.stopping, "state=\"stopping\"");
  SetGauge("basilspring_agent_tasks", counts.undelivered, "state=\"undelivered\"");
  SetGauge("basilspring_agent_accepting", core_.accepting() ? 1 : 0);
  SetGauge("basilspring_agent_epoch", core_.epoch().value());
}

void AgentProcess::UpdateTransportMetrics() {
  const TransportCounters transport = transport_->counters();
  SetGauge("basilspring_transport_bytes_sent", transport.bytes_sent);
  SetGauge("basilspring_transport_bytes_received", transport.bytes_received);
  SetGauge("basilspring_transport_messages_sent", transport.messages_sent);
  SetGauge("basilspring_transport_messages_received", transport.messages_received);
  SetGauge("basilspring_transport_reconnects", transport.reconnects);
  SetGauge("basilspring_transport_duplicates_dropped", transport.duplicates_dropped);
  SetGauge("basilspring_transport_bad_frames", transport.bad_frames);
  const StoreCounters store = store_->counters();
  SetGauge("basilspring_store_calls", store.calls);
  SetGauge("basilspring_store_retries", store.retries);
  SetGauge("basilspring_store_failures", store.failures);
  SetGauge("basilspring_agent_ring_dropped", duty_->dropped());
  SetGauge("basilspring_agent_holds_cell", cell_->holds_cell() ? 1 : 0);
}

void AgentProcess::OnMessage(const Address& from, Message message) {
  // Peers resend messages that arrive before the constructor has finished.
  if (!running_) return;
  if (IsForScheduler(message)) {
    cell_->OnMessage(from, std::move(message));
  } else {
    Post(ReceivedMessage{from, std::move(message)});
  }
}

void AgentProcess::OnHttp(const HttpRequest& request, HttpResponder& responder) {
  if (!running_) {
    responder.Respond(TextResponse(503, "the agent is not running\n"));
  } else if (request.path == "/v1/backend/announce" && request.method == "POST") {
    try {
      Post(ParseAnnouncement(request.body));
      responder.Respond(TextResponse(200, ""));
    } catch (const Error& error) {
      responder.Respond(TextResponse(ErrorInfo(error.kind()).http_status, error.what()));
    }
  } else if (request.path == "/metrics" && request.method == "GET") {
    UpdateTransportMetrics();
    responder.Respond(TextResponse(200, metrics_.Render()));
  } else if (request.path == "/healthz" && request.method == "GET") {
    responder.Respond(TextResponse(200, "ok\n"));
  } else if (request.path == "/readyz" && request.method == "GET") {
    responder.Respond(stopping_ ? TextResponse(503, "stopping\n") : TextResponse(200, "ok\n"));
  } else {
    responder.Respond(TextResponse(404, "no such path\n"));
  }
}

void AgentProcess::RunUntilStopped() {
  Log(EventId::kProcessStarted, "role=agent listen={} http={} cell={}", settings_.listen.ToString(),
      server_->address().ToString(), settings_.cell.value());
  stop_signal_.get_future().wait();
  Log(EventId::kProcessStopping, "role=agent drain_limit_ms={}",
      settings_.drain_limit.milliseconds());
  stopping_ = true;
  Drain();
  Log(EventId::kProcessStopped, "role=agent drained={}", drained_.load());
}

void AgentProcess::Drain() {
  // Must precede the release of the cell, so that this agent does not contend for it again.
  Post(DrainRequest{});
  const TimePoint begun = Clock::Now();
  cell_->Release(std::min(kMaxReleaseTime, settings_.drain_limit));
  // At the drain limit the core stops the tasks that still run, which takes a checkpoint call and a
  // stop call.
  const TimePoint end = begun + settings_.drain_limit + settings_.timings.backend_poll_wait * 3;
  const auto tick_interval = std::chrono::milliseconds(kTickInterval.milliseconds());
  while (!(drained_ && transport_->Drained()) && Clock::Now() < end) {
    std::this_thread::sleep_for(tick_interval);
  }
}

}  // namespace

int RunAgent(const ProcessSettings& settings) {
  AgentProcess process(settings);
  process.RunUntilStopped();
  return 0;
}

}  // namespace basilspring
