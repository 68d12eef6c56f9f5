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

// Reservations last 5 s and permits 2 s; ticks this long apart keep their bounds.
constexpr Duration kTick(20);

}  // namespace

struct CellDuty::Impl {
  Impl(const ProcessSettings& process_settings, Transport& own_transport, StoreClient& own_store,
       MetricRegistry& registry)
      : settings(process_settings),
        transport(own_transport),
        store(own_store),
        metrics(registry),
        election(own_store, settings.cell, settings.listen, settings.timings.cell_lease),
        duty("cell", kTick, [this] { OnTick(); }) {}

  // All on the duty's thread.
  void OnTick();
  void TryAcquire();
  void Begin(Epoch epoch);
  void RenewLease();
  void LoseCell(std::string_view reason);
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
  /// In force when the cell was last lost. The next scheduler of this process begins with it, so
  /// that no entry that is behind brings back an older one.
  std::optional<ConfigurationUpdate> kept_configuration;
  bool acquiring = false;
  bool renewing = false;
  TimePoint next_renewal;
  /// Set once Release was called; the process never contends again.
  bool releasing = false;
  bool revoking = false;
  TimePoint release_limit;
  std::optional<std::promise<void>> released;
  std::atomic<bool> holds{false};
  std::atomic<bool> overflow_logged{false};
  /// Last, so that its thread ends before the rest goes.
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
  if (!impl_->holds.load()) return;
  auto work = [impl = impl_.get(), event = CellMessage{from, std::move(message)}] {
    if (impl->scheduler) impl->scheduler->Handle(event);
  };
  if (impl_->duty.TryPost(std::move(work))) {
    impl_->overflow_logged.store(false);
  } else if (!impl_->overflow_logged.exchange(true)) {
    // One line for each time of overload, so that the log doesn't add to it.
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
    if (impl->scheduler) impl->scheduler->Handle(EntriesKnown{entries});
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

bool CellDuty::holds_cell() const { return impl_->holds.load(); }

void CellDuty::Impl::OnTick() {
  if (scheduler) {
    scheduler->Handle(CellTick{});
    if (scheduler->stopped() && !revoking) LoseCell("deposed");
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
      Begin(*epoch);
    }
  });
}

void CellDuty::Impl::Begin(Epoch epoch) {
  CellIdentity identity;
  identity.cell = settings.cell;
  identity.region = settings.region;
  identity.data_centre = settings.data_centre;
  identity.self = settings.listen;
  identity.epoch = epoch;
  identity.last_epoch = last_epoch;
  identity.policy = settings.placement_policy == "first-fit" ? PlacementPolicy::kFirstFit
                                                             : PlacementPolicy::kGuarantees;
  last_epoch = epoch;
  Log(EventId::kCellAcquired, "cell={} epoch={} last_epoch={}", settings.cell.value(),
      epoch.value(), identity.last_epoch.value());
  scheduler = std::make_shared<CellScheduler>(std::move(identity), settings.timings, duty,
                                              transport, store, metrics);
  next_renewal = Clock::Now() + settings.timings.cell_lease_renewal;
  holds.store(true);
  scheduler->Handle(EntriesKnown{entries});
  if (kept_configuration) scheduler->Handle(ConfigurationKept{*kept_configuration});
  scheduler->Start();
}

void CellDuty::Impl::RenewLease() {
  renewing = true;
  next_renewal = Clock::Now() + settings.timings.cell_lease_renewal;
  duty.Spawn([this] {
    const LeaseRenewal renewal = election.Renew();
    renewing = false;
    if (renewal != LeaseRenewal::kExpired || !scheduler || revoking) return;
    LoseCell("the lease has expired");
    // The cell may still be vacant, and the agents look for a new scheduler only after a while.
    TryAcquire();
  });
}

void CellDuty::Impl::LoseCell(std::string_view reason) {
  Log(EventId::kCellLost, "cell={} epoch={} reason=\"{}\"", settings.cell.value(),
      scheduler->epoch().value(), reason);
  if (auto configuration = scheduler->configuration()) {
    kept_configuration = std::move(configuration);
  }
  scheduler->Stop();
  scheduler.reset();
  holds.store(false);
}

void CellDuty::Impl::TickRelease() {
  if (revoking || acquiring || renewing || !released) return;
  if (!scheduler) {
    FinishRelease();
    return;
  }
  if (!scheduler->handed_over() && Clock::Now() < release_limit) return;
  revoking = true;
  duty.Spawn([this] {
    election.Release();
    // After the release, so that the agents find the cell vacant.
    if (scheduler) scheduler->Handle(LeaseReleased{});
    if (scheduler) LoseCell("released");
    FinishRelease();
  });
}

void CellDuty::Impl::FinishRelease() {
  if (released) std::exchange(released, std::nullopt)->set_value();
}

}  // namespace basilspring
