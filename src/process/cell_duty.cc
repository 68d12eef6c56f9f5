#include "basilspring/process/cell_duty.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <utility>

#include "basilspring/connection/store_client.h"
#include "basilspring/connection/transport.h"
#include "basilspring/error.h"
#include "basilspring/process/cell_scheduler.h"
#include "basilspring/process/duty.h"
#include "basilspring/process/election.h"
#include "basilspring/process/log.h"
#include "basilspring/process/process_settings.h"

namespace basilspring {
namespace {

// Reservations last 5 s and permits 2 s; this interval is short enough to keep these bounds.
constexpr Duration kTickInterval(20);

}  // namespace

struct CellDuty::Impl {
  Impl(const ProcessSettings& process_settings, Transport& own_transport, StoreClient& own_store,
       MetricRegistry& registry)
      : settings(process_settings),
        transport(own_transport),
        store(own_store),
        metrics(registry),
        election(own_store, settings.cell, settings.listen, settings.timings.cell_lease),
        duty("cell", kTickInterval, [this] { OnTick(); }) {}

  // All member functions run on the thread of `duty`.
  void OnTick();
  void TryAcquire();
  void StartScheduler(Epoch epoch);
  void RenewLease();
  /// Stops the scheduler and keeps its configuration.
  void LoseCell(std::string_view reason);
  /// Releases the lease once the hand-over is complete or its time limit has passed.
  void TickRelease();
  void FinishRelease();

  const ProcessSettings settings;
  Transport& transport;
  StoreClient& store;
  MetricRegistry& metrics;
  Election election;
  std::shared_ptr<CellScheduler> scheduler;
  std::vector<Address> entries;
  Epoch last_epoch;
  /// The configuration in force when the cell was last lost. The next scheduler of this process
  /// starts with it, so that an entry with an older configuration can't revert to that one.
  std::optional<ConfigurationUpdate> last_configuration;
  bool acquiring = false;
  bool renewing = false;
  TimePoint next_renewal;
  /// Set once Release was called; the process doesn't contend after that.
  bool releasing = false;
  /// Whether the release of the lease has begun.
  bool releasing_lease = false;
  TimePoint release_limit;
  std::optional<std::promise<void>> released;
  std::atomic<bool> holds_cell{false};
  std::atomic<bool> overflow_logged{false};
  /// Declared last, so that its thread ends before the other members are destroyed.
  Duty duty;
};

CellDuty::CellDuty(const ProcessSettings& settings, Transport& transport, StoreClient& store,
                   MetricRegistry& metrics)
    : impl_(std::make_unique<Impl>(settings, transport, store, metrics)) {}

CellDuty::~CellDuty() {
  impl_->duty.TryPost([impl = impl_.get()] {
    impl->releasing = true;
    if (impl->scheduler) impl->scheduler->Stop();
  });
  impl_->duty.Stop();
}

void CellDuty::OnMessage(const Address& from, Message message) {
  if (!impl_->holds_cell.load()) return;
  auto work = [impl = impl_.get(), event = CellMessage{from, std::move(message)}] {
    if (impl->scheduler) impl->scheduler->Handle(event);
  };
  if (impl_->duty.TryPost(std::move(work))) {
    impl_->overflow_logged.store(false);
  } else if (!impl_->overflow_logged.exchange(true)) {
    // Logged once per period of overload, so that logging doesn't add to the load.
    Log(EventId::kQueueFull, "queue=cell dropped={}", impl_->duty.dropped());
  }
}

void CellDuty::Contend(Epoch last_epoch) {
  impl_->duty.TryPost([impl = impl_.get(), last_epoch] {
    impl->last_epoch = std::max(impl->last_epoch, last_epoch);
    impl->TryAcquire();
  });
}

void CellDuty::SetEntries(std::vector<Address> entries) {
  impl_->duty.TryPost([impl = impl_.get(), entries = std::move(entries)] {
    impl->entries = entries;
    if (impl->scheduler) impl->scheduler->Handle(EntriesUpdated{entries});
  });
}

void CellDuty::Release(Duration limit) {
  auto released = std::make_shared<std::promise<void>>();
  std::future<void> done = released->get_future();
  const bool posted = impl_->duty.TryPost([impl = impl_.get(), released, limit] {
    impl->releasing = true;
    impl->release_limit = Clock::Now() + limit;
    impl->released = std::move(*released);
    if (impl->scheduler) impl->scheduler->Handle(HandOver{});
    impl->TickRelease();
  });
  if (posted) done.wait_for(std::chrono::milliseconds(limit.milliseconds()));
}

bool CellDuty::holds_cell() const { return impl_->holds_cell.load(); }

void CellDuty::Impl::OnTick() {
  if (scheduler) {
    scheduler->Handle(CellTick{});
    if (scheduler->stopped() && !releasing_lease) LoseCell("deposed");
  }
  if (scheduler && !renewing && Clock::Now() >= next_renewal) RenewLease();
  if (releasing) TickRelease();
}

void CellDuty::Impl::TryAcquire() {
  if (acquiring || scheduler || releasing) return;
  acquiring = true;
  duty.Spawn([this] {
    std::optional<Epoch> epoch;
    try {
      epoch = election.Acquire();
    } catch (const Error& error) {
      Log(EventId::kStoreCallFailed, "cell={} operation=acquire reason=\"{}\"",
          settings.cell.value(), error.what());
    }
    acquiring = false;
    if (!epoch) return;
    if (releasing) {
      election.Release();
    } else {
      StartScheduler(*epoch);
    }
  });
}

void CellDuty::Impl::StartScheduler(Epoch epoch) {
  CellIdentity identity;
  identity.cell = settings.cell;
  identity.region = settings.region;
  identity.data_centre = settings.data_centre;
  identity.address = settings.listen;
  identity.epoch = epoch;
  identity.last_epoch = last_epoch;
  identity.policy = settings.placement_policy == "first-fit" ? PlacementPolicy::kFirstFit
                                                             : PlacementPolicy::kGuarantees;
  last_epoch = epoch;
  Log(EventId::kCellAcquired, "cell={} epoch={} last_epoch={}", settings.cell.value(),
      epoch.value(), identity.last_epoch.value());
  scheduler = std::make_shared<CellScheduler>(std::move(identity), settings.timings, duty,
                                              transport, store, metrics);
  next_renewal = Clock::Now() + settings.timings.cell_lease_renewal_interval;
  holds_cell.store(true);
  scheduler->Handle(EntriesUpdated{entries});
  if (last_configuration) scheduler->Handle(ConfigurationRestored{*last_configuration});
  scheduler->ListJobRecords();
}

void CellDuty::Impl::RenewLease() {
  renewing = true;
  next_renewal = Clock::Now() + settings.timings.cell_lease_renewal_interval;
  duty.Spawn([this] {
    const LeaseRenewal renewal = election.Renew();
    renewing = false;
    if (renewal != LeaseRenewal::kExpired || !scheduler || releasing_lease) return;
    LoseCell("the lease has expired");
    // The cell may still be vacant, and agents look for a new scheduler only after
    // scheduler_silence_timeout.
    TryAcquire();
  });
}

void CellDuty::Impl::LoseCell(std::string_view reason) {
  Log(EventId::kCellLost, "cell={} epoch={} reason=\"{}\"", settings.cell.value(),
      scheduler->epoch().value(), reason);
  if (auto configuration = scheduler->configuration()) {
    last_configuration = std::move(configuration);
  }
  scheduler->Stop();
  scheduler.reset();
  holds_cell.store(false);
}

void CellDuty::Impl::TickRelease() {
  if (releasing_lease || acquiring || renewing || !released) return;
  if (!scheduler) {
    FinishRelease();
    return;
  }
  if (!scheduler->handed_over() && Clock::Now() < release_limit) return;
  releasing_lease = true;
  duty.Spawn([this] {
    election.Release();
    // The agents are told only after the release, so that they find the cell vacant.
    if (scheduler) scheduler->Handle(LeaseReleased{});
    if (scheduler) LoseCell("released");
    FinishRelease();
  });
}

void CellDuty::Impl::FinishRelease() {
  if (released) std::exchange(released, std::nullopt)->set_value();
}

}  // namespace basilspring
