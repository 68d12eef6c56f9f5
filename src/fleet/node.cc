#include "basilspring/fleet/node.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <limits>
#include <random>
#include <thread>
#include <utility>

#include "basilspring/fleet/agent_core.h"
#include "basilspring/process/log.h"
#include "fleet/node_process.h"

namespace basilspring::fleet {
namespace {

// Tick interval: the resolution of the timers, and how often an idle process wakes up.
constexpr Duration kEntryTick(50);
constexpr Duration kAgentTick(50);
constexpr Duration kPostRetry(5);
// A gap of this length between two events of a process that ticks every 50 ms is a pause.
constexpr Duration kMinPause(1000);
// After this long without contact to a scheduler, a process checks whether there is one. A process
// with less than a sufficient processor share waits longer, up to the second constant more, so that
// the scheduler runs on a host with enough processor time.
constexpr Duration kContactTimeout(1200);
constexpr double kMaxExtraContactTimeoutMs = 1500;
constexpr double kSufficientProcessorShare = 0.5;
// Longest time for which a process with less than a sufficient share leaves a vacant lease to
// others. Processes that look for the holder do so every 0.3 to 0.45 s, so several with a
// sufficient share, if there are any, find the lease vacant first.
constexpr double kMaxContendDelayMs = 300;
// Delay of the first check after the start of a process. It is shorter than the contact timeout,
// because a cold start has no scheduler that could be lost.
constexpr Duration kStartDelay(150);
// Upper bound of a random delay that spreads the first checks of processes that start together.
constexpr Duration kStartJitter(400);
// Time for which a stopping entry keeps accepting connections: the load balancer stops sending new
// ones after two failed readiness checks, one second apart.
constexpr Duration kBalancerDrainTime(2300);
// The settings file may change without a signal; reading its modification time costs one system
// call.
constexpr Duration kSettingsCheckInterval(2000);
// Time for which callers of a stopping entry can learn from a last answer that their connection is
// going to be closed. Only connections that were idle for this long are closed without an answer.
constexpr Duration kLastAnswerTime(500);
// Time between two checks whether a stopping process has drained.
constexpr Duration kStopPoll(20);

/// Returns the modification time of the file, or the earliest time if it can't be read.
std::filesystem::file_time_type ModificationTime(const std::string& file) {
  std::error_code error;
  const auto written = std::filesystem::last_write_time(file, error);
  return error ? std::filesystem::file_time_type::min() : written;
}

/// Returns the time of day in seconds, which tells successive processes of an agent apart.
std::uint32_t FirstEpoch() {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Clock::WallMilliseconds() / 1000, 0, kMax));
}

/// Returns the limits of all accepted connections, within the process's limit of descriptors.
ConnectionLimits LimitsOf(const NodeSettings& settings) {
  ConnectionLimits limits = settings.connections;
  limits.connections = ConnectionsWithinProcessLimit(limits.connections);
  return limits;
}

void SleepUntil(TimePoint time) {
  const Duration wait = time - Clock::Now();
  if (wait > Duration()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(wait.milliseconds()));
  }
}

}  // namespace

Node::Node(const NodeSettings& settings, std::string file, const AdapterFactory& make_adapters)
    : settings_(settings),
      settings_file_(std::move(file)),
      entry_role_(settings.role == NodeRole::kEntry) {
  io_.OnStopSignal([this] { stop_signal_.set_value(); });
  io_.OnReloadSignal([this] {
    // While the process starts or ends there is no thread to post to. A change that is signalled
    // during the start is found by CheckSettingsFile().
    if (running_) Post([this] { ReloadSettings("SIGHUP"); });
  });
  http_ = std::make_unique<HttpClient>(io_);
  adapters_ = make_adapters(*http_, settings_);
  const Executor executor = [this](std::function<void()> work) { Post(std::move(work)); };
  state_thread_ = std::make_unique<Duty>("fleet", entry_role_ ? kEntryTick : kAgentTick, [this] {
    if (running_) RunGuarded([this] { Tick(); });
  });
  peers_ = std::make_unique<PeerClient>(*http_, executor);
  store_ = std::make_unique<StoreAccess>(*adapters_.store, *peers_, executor);
  SetPeers();
  LeadershipOptions options;
  options.node = settings_.name;
  options.address = settings_.advertised;
  const double cpu_shortfall =
      std::max(0.0, 1.0 - settings_.processor_share / kSufficientProcessorShare);
  const Duration extra(static_cast<std::int64_t>(kMaxExtraContactTimeoutMs * cpu_shortfall));
  options.contact_timeout = kContactTimeout + extra;
  options.contend_delay = Duration(static_cast<std::int64_t>(kMaxContendDelayMs * cpu_shortfall));
  const Duration jitter(
      static_cast<std::int64_t>(std::random_device()() % kStartJitter.milliseconds()));
  options.first_check_at = Clock::Now() + kStartDelay + extra / 2 + jitter;
  leadership_ = std::make_unique<Leadership>(
      *store_, options,
      Leadership::Handlers{
          [this](Term term, std::int64_t revision) { StartScheduler(term, revision); },
          // Posted, because the scheduler itself may be the caller.
          [this] { Post([this] { StopScheduler(); }); },
          [this](const LeaderRecord& record) { OnScheduler(record.term, record.address); }});
  operator_mirror_ = std::make_unique<PrefixMirror>(adapters_.operators->Prefix());
  operator_watch_ =
      std::make_unique<PrefixWatch>(*store_, executor, adapters_.operators->Prefix(),
                                    [this](const std::vector<StoreItem>& items, bool snapshot) {
                                      OnOperatorItems(items, snapshot);
                                    });
  if (entry_role_) {
    entry_ = std::make_unique<EntryServer>(EntryServer::Context{
        *store_, *peers_, executor,
        [this](Duration delay, std::function<void()> work) { PostAfter(delay, std::move(work)); },
        *adapters_.callers, metrics_, settings_.name, settings_.advertised,
        [this] { return scheduler_.get(); }, settings_.entry, settings_.inbox_notices});
  } else {
    FleetAgentOptions agent;
    agent.node = settings_.name;
    agent.address = settings_.advertised;
    agent.lease = settings_.scheduler.lease;
    agent.longest_lease = settings_.scheduler.longest_lease;
    agent.lease_expiry_margin = settings_.scheduler.LeaseExpiryMargin();
    agent.incarnation = (std::uint64_t{std::random_device()()} << 32U) | std::random_device()();
    agent.first_epoch = FirstEpoch();
    agent_ = std::make_unique<AgentDriver>(
        AgentDriver::Context{*adapters_.backend, *peers_, executor,
                             [this] { leadership_->CheckHolderNow(); },
                             [this] { return scheduler_.get(); }},
        agent);
  }
  connection_budget_ = std::make_shared<ConnectionBudget>(LimitsOf(settings_));
  running_ = true;
  Post([this] {
    if (entry_role_) operator_watch_->Start();
  });
  Listen();
}

Node::~Node() {
  running_ = false;
  std::promise<void> idle;
  while (!state_thread_->TryPost([&idle] { idle.set_value(); })) {
  }
  idle.get_future().wait();
  state_thread_->Stop();
  servers_.clear();
  agent_.reset();
  entry_.reset();
  scheduler_.reset();
  operator_watch_.reset();
  leadership_.reset();
  store_.reset();
  peers_.reset();
  adapters_ = Adapters();
  http_.reset();
}

void Node::Post(std::function<void()> work) {
  auto shared = std::make_shared<std::function<void()>>(std::move(work));
  const bool posted = state_thread_->TryPost([this, shared] {
    if (running_) RunGuarded(*shared);
  });
  if (posted || !running_) return;
  Log(EventId::kQueueFull, "queue=fleet");
  io_.PostAfter(kPostRetry, [this, shared] { Post([shared] { (*shared)(); }); });
}

void Node::CheckForPause() {
  const TimePoint now = Clock::Now();
  if (!last_event_at_ || now - *last_event_at_ < kMinPause) return;
  Log(EventId::kFleetConfiguration, "the process was paused for {} ms; asking for changes",
      (now - *last_event_at_).milliseconds());
  resumed_at_ = now;
  operator_watch_->Refresh();
  if (entry_) entry_->OnPaused(now);
}

void Node::RunGuarded(const std::function<void()>& work) {
  CheckForPause();
  try {
    work();
  } catch (const std::exception& error) {
    Log(EventId::kInternalError, "scheduler={} an unexpected error was caught: {}",
        scheduler_ != nullptr, error.what());
    metrics_
        .GetCounter("basilspring_internal_errors_total", "",
                    "Unexpected errors that ended the handling of one event.")
        .Add();
    leadership_->GiveUp("an unexpected error occurred");
  }
  last_event_at_ = Clock::Now();
}

void Node::PostAfter(Duration delay, std::function<void()> work) {
  io_.PostAfter(delay, [this, work = std::move(work)]() mutable { Post(std::move(work)); });
}

void Node::SetPeers() {
  std::vector<Address> peers;
  const auto add = [&](const Address& address) {
    const bool known = std::find(peers.begin(), peers.end(), address) != peers.end();
    if (!address.empty() && address != settings_.advertised && !known) peers.push_back(address);
  };
  add(scheduler_address_);
  if (entry_) {
    for (const Address& address : entry_->known_peers()) add(address);
  }
  // All processes listen for their peers on the same port.
  for (const Address& seed : settings_.seeds) add(Address{seed.ip, settings_.peers.port});
  store_->SetPeers(std::move(peers));
}

void Node::CheckSettingsFile(TimePoint now) {
  if (now < next_settings_check_) return;
  next_settings_check_ = now + kSettingsCheckInterval;
  if (ModificationTime(settings_file_) != settings_modified_at_) {
    ReloadSettings("the file has changed");
  }
}

void Node::ReloadSettings(std::string_view cause) {
  settings_modified_at_ = ModificationTime(settings_file_);
  const NodeSettingsOutcome outcome = LoadNodeSettings(settings_file_);
  if (!outcome.faults.empty()) {
    for (const SettingsFault& fault : outcome.faults) {
      Log(EventId::kSettingsReloaded, "cause=\"{}\" kept the former settings: {}", cause,
          fault.text);
    }
    return;
  }
  const NodeSettingsChange change = ApplyChanges(outcome.settings, settings_);
  SetLogLevel(settings_.log_level);
  connection_budget_->SetLimits(LimitsOf(settings_));
  if (entry_) entry_->SetLimits(settings_.entry);
  SetPeers();
  Log(EventId::kSettingsReloaded, "cause=\"{}\" applied={} after_restart={}", cause,
      fmt::join(change.applied, ","), fmt::join(change.deferred, ","));
}

void Node::OnOperatorItems(const std::vector<StoreItem>& items, bool snapshot) {
  operator_mirror_->Update(items, snapshot, operator_watch_->revision());
  auto state = std::make_shared<OperatorState>();
  if (operator_state_) *state = *operator_state_;
  if (snapshot) state->evacuated.clear();
  const TimePoint began = Clock::Now();
  std::size_t bytes = 0;
  for (const StoreItem& item : items) {
    bytes += item.value.size();
    if (const auto fault = adapters_.operators->Apply(item, *state)) {
      Log(EventId::kFleetConfiguration, "ignored: {}", *fault);
    }
  }
  const std::int64_t before = operator_state_ ? operator_state_->config.version : 0;
  const std::size_t evacuated_before = operator_state_ ? operator_state_->evacuated.size() : 0;
  if (state->config.version != before || state->evacuated.size() != evacuated_before) {
    Log(EventId::kFleetConfiguration,
        "version={} former={} revision={} queues={} workspaces={} evacuated={} bytes={} "
        "decode_ms={} by={}",
        state->config.version, before, operator_watch_->revision(), state->config.queues.size(),
        state->config.workspaces.size(), state->evacuated.size(), bytes,
        (Clock::Now() - began).milliseconds(), snapshot ? "read" : "watch");
  }
  operator_state_ = state;
  if (scheduler_) scheduler_->SetOperatorState(operator_state_);
  if (entry_ && state->config.version != 0) entry_->SetOperatorState(operator_state_);
}

void Node::StartScheduler(Term term, std::int64_t revision) {
  scheduler_ = std::make_unique<SchedulerDriver>(
      SchedulerDriver::Context{
          *store_, *peers_, metrics_, [this](std::function<void()> work) { Post(std::move(work)); },
          [this](Duration delay, std::function<void()> work) { PostAfter(delay, std::move(work)); },
          settings_.advertised, settings_.scheduler, [this] { return leadership_->valid_until(); },
          [this](const std::string& reason) { leadership_->StopLeading(reason); }},
      term, revision);
  // What this process knows of the configuration may be older than the term, so it is read again.
  operator_watch_->Start();
  OnScheduler(term, settings_.advertised);
}

void Node::StopScheduler() {
  if (leadership_->leading()) return;
  scheduler_.reset();
  if (!entry_role_) operator_watch_->Stop();
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
  const TimePoint now = Clock::Now();
  if (resumed_at_ && operator_watch_->current_at() > *resumed_at_) {
    resumed_at_.reset();
    if (entry_) entry_->ConfirmConfiguration();
  }
  leadership_->Tick(now, LastContact());
  if (entry_role_ || scheduler_) operator_watch_->Tick(now);
  if (scheduler_) scheduler_->Tick(now);
  if (entry_) entry_->Tick(now);
  if (agent_) agent_->Tick(now);
  CheckSettingsFile(now);
}

bool Node::AgentBusy() {
  std::promise<bool> busy;
  Post([this, &busy] { busy.set_value(agent_ && agent_->busy()); });
  return busy.get_future().get();
}

bool Node::DrainServers(TimePoint limit) {
  // The servers count a request from its reading on, so those in the queue of the state thread are
  // included. A server without a listener and without connections receives no further request.
  for (const auto& server : servers_) server->StopAccepting();
  if (entry_role_) SleepUntil(std::min(limit, Clock::Now() + kLastAnswerTime));
  while (true) {
    std::size_t open = 0;
    for (const auto& server : servers_) open += server->CloseIdleConnections();
    if (open == 0) return true;
    if (Clock::Now() >= limit) return false;
    SleepUntil(Clock::Now() + kStopPoll);
  }
}

void Node::RunUntilStopped() {
  Log(EventId::kProcessStarted, "role={} peers={} store={} data_centre={}",
      entry_role_ ? "entry" : "agent", settings_.peers.ToString(), settings_.store.ToString(),
      settings_.data_centre.value());
  stop_signal_.get_future().wait();
  const TimePoint stop_began = Clock::Now();
  std::promise<Duration> drain_limit_promise;
  Post([this, stop_began, &drain_limit_promise] {
    if (entry_) entry_->BeginStop(stop_began + settings_.drain_limit);
    leadership_->Resign();
    drain_limit_promise.set_value(settings_.drain_limit);
  });
  const Duration drain_limit = drain_limit_promise.get_future().get();
  Log(EventId::kProcessStopping, "role={} drain_limit_ms={}", entry_role_ ? "entry" : "agent",
      drain_limit.milliseconds());
  const TimePoint limit = stop_began + drain_limit;
  if (entry_role_) {
    SleepUntil(stop_began + std::min(kBalancerDrainTime, drain_limit / 2));
  } else {
    while (AgentBusy() && Clock::Now() < limit) SleepUntil(Clock::Now() + kStopPoll);
  }
  const bool drained = DrainServers(limit);
  Log(EventId::kProcessStopped, "role={} drained={}", entry_role_ ? "entry" : "agent", drained);
}

int RunNode(const NodeSettings& settings, const std::string& file,
            const AdapterFactory& make_adapters) {
  Node node(settings, file, make_adapters);
  node.RunUntilStopped();
  return 0;
}

}  // namespace basilspring::fleet
