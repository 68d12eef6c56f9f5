#include "basilspring/process/entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include "basilspring/process/log.h"
#include "process/entry_driver.h"

namespace basilspring {
namespace internal {
namespace {

constexpr Duration kTickInterval = Duration(50);
// Time for the load balancer to notice that /readyz fails, before connections are refused.
constexpr Duration kReadinessGracePeriod = Duration(1000);

EntryOptions CoreOptions(const ProcessSettings& settings) {
  EntryOptions options;
  options.region = settings.region;
  options.max_requests = settings.max_requests;
  options.answer_retention = settings.timings.answer_retention;
  options.max_summary_age = settings.timings.summary_interval * 5;
  options.max_remote_summary_age = settings.timings.summary_interval * 15;
  options.cell_silence_timeout = settings.timings.summary_interval * 10;
  options.cell_wait_timeout = settings.timings.cell_lease + settings.timings.max_election_delay +
                              settings.timings.rebuild_wait + settings.timings.find_cell_interval;
  return options;
}

StoreOptions StoreOptionsWithSeed(StoreOptions options) {
  options.seed = std::random_device()();
  return options;
}

// Memory for all connections of callers. An entry has 160 MB or more.
constexpr std::size_t kConnectionMemory = std::size_t{64} * 1024 * 1024;
// Connections beyond `max_connections` that HttpServer keeps to refuse them with 503.
constexpr std::size_t kRefusedConnections = 64;

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

EntryDriver::EntryDriver(const ProcessSettings& settings)
    : settings_(settings),
      http_client_(io_),
      store_(io_, http_client_, StoreOptionsWithSeed(settings.store)),
      core_(CoreOptions(settings)),
      directory_(settings.name, settings.listen, settings.region),
      permits_(settings.name, settings.listen, settings.timings),
      random_(RandomSeed()) {
  permits_.SetFailClosed(settings_.permit_policy == "fail-closed");
  registration_value_ = fmt::format("{}#{:016x}", settings_.listen.ToString(), RandomSeed());
  transport_ = std::make_unique<Transport>(
      io_, settings_.name, settings_.listen,
      [this](const Address& from, Message message) { OnMessage(from, std::move(message)); });
  HttpLimits limits;
  limits.max_connections = settings_.max_connections;
  server_ = std::make_unique<HttpServer>(
      io_, settings_.http,
      [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
        OnHttp(std::move(request), responder);
      },
      limits,
      std::make_shared<ConnectionBudget>(ConnectionLimits{
          kConnectionMemory,
          ConnectionsWithinProcessLimit(settings_.max_connections + kRefusedConnections)}),
      "callers");
  duty_ = std::make_unique<Duty>("entry", kTickInterval, [this] { OnTick(); });
  running_duty_ = duty_.get();
  Post([this] {
    needs_synchronization_ = true;
    Spawn([this] { ReadGuardLoop(); });
    Spawn([this] { RegisterLoop(); });
  });
}

EntryDriver::~EntryDriver() {
  closing_ = true;
  running_duty_ = nullptr;
  duty_->Stop();
  pending_requests_.clear();
  server_.reset();
  watch_.reset();
  transport_.reset();
}

bool EntryDriver::Post(std::function<void()> work) {
  Duty* const duty = running_duty_.load();
  return duty != nullptr && duty->TryPost(std::move(work));
}

void EntryDriver::Spawn(std::function<void()> body) {
  // An exception that escapes from a fiber would terminate the process.
  duty_->Spawn([body = std::move(body)] {
    try {
      body();
    } catch (const std::exception& error) {
      Log(EventId::kInternalError, "reason=\"{}\"", error.what());
    }
  });
}

void EntryDriver::OnTick() {
  if (running_duty_.load() == nullptr) return;
  const TimePoint now = Clock::Now();
  last_tick_ = now.milliseconds();
  Handle(TickEvent{});
  TickPermits();
  const bool reachable = now - last_store_read_ < settings_.timings.permit_validity;
  if (reachable != store_reachable_) {
    store_reachable_ = reachable;
    Handle(StoreReachability{reachable});
  }
  if (needs_synchronization_.exchange(false) && !synchronizing_) {
    synchronizing_ = true;
    Spawn([this] { Synchronize(); });
  }
  if (now >= next_periodic_work_) RunPeriodicWork();
  if (stopping_) drained_ = core_.Drained();
}

void EntryDriver::RunPeriodicWork() {
  const TimePoint now = Clock::Now();
  next_periodic_work_ = now + settings_.timings.summary_interval;
  directory_.SetStoreReachable(synchronized_ && store_reachable_);
  SendAll(directory_.DueHellos(now));
  UpdateRouting();
  UpdateMetrics();
}

void EntryDriver::UpdateMetrics() {
  const auto set = [this](const char* name, std::uint64_t value) {
    metrics_.GetGauge(name).Set(static_cast<std::int64_t>(value));
  };
  const StoreCounters store = store_.counters();
  set("basilspring_store_calls", store.calls);
  set("basilspring_store_retries", store.retries);
  set("basilspring_store_failures", store.failures);
  const TransportCounters transport = transport_->counters();
  set("basilspring_transport_bytes_sent", transport.bytes_sent);
  set("basilspring_transport_bytes_received", transport.bytes_received);
  set("basilspring_transport_reconnects", transport.reconnects);
  set("basilspring_requests_in_flight", core_.in_flight());
  set("basilspring_config_revision", directory_.revision().value());
  set("basilspring_duty_ring_dropped", duty_->dropped());
}

void EntryDriver::Run() {
  std::promise<void> stop;
  io_.OnStopSignal([&stop] { stop.set_value(); });
  Log(EventId::kProcessStarted, "role=entry listen={} http={} region={}",
      settings_.listen.ToString(), server_->address().ToString(), settings_.region.value());
  stop.get_future().wait();
  Log(EventId::kProcessStopping, "requests_in_flight={}", server_->in_flight());
  WaitUntilDrained();
  Log(EventId::kProcessStopped, "requests_in_flight={}", server_->in_flight());
}

void EntryDriver::WaitUntilDrained() {
  const TimePoint begun = Clock::Now();
  const TimePoint limit = begun + settings_.drain_limit;
  stopping_ = true;
  while (!Post([this] { Handle(StopEvent{}); }) && Clock::Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const TimePoint earliest = std::min(limit, begun + kReadinessGracePeriod);
  while (Clock::Now() < limit) {
    const bool done = drained_ && server_->in_flight() == 0 && transport_->Drained();
    if (done && Clock::Now() >= earliest) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  server_->StopAccepting();
  // Requests that arrived on open connections in the meantime are refused; wait until these
  // responses have been sent.
  while (Clock::Now() < limit && server_->in_flight() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  // While this entry stays registered, the other entries need its vouch, which it can no longer
  // give. The wait is bounded by the deadline of a store call.
  if (Post([this] { Spawn([this] { Deregister(); }); })) {
    const TimePoint last = Clock::Now() + settings_.store.call_deadline;
    while (!deregistered_ && Clock::Now() < last) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
}

}  // namespace internal

int RunEntry(const ProcessSettings& settings) {
  ConfigureLog(settings.log_level, settings.name.value());
  internal::EntryDriver driver(settings);
  driver.Run();
  return 0;
}

}  // namespace basilspring
