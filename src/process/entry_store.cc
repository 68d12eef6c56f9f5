#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "basilspring/process/log.h"
#include "basilspring/version/config_change.h"
#include "process/entry_driver.h"

namespace basilspring {
namespace internal {
namespace {

constexpr std::string_view kStorePrefix = "/basilspring/";
constexpr std::string_view kCellsPrefix = "/basilspring/cells/";
constexpr std::string_view kEntriesPrefix = "/basilspring/entries/";
// Far more than the 133 cells, 82 entries and several thousand configuration nodes of the target
// size.
constexpr std::size_t kListLimit = 100000;
constexpr Duration kRetryPause = Duration(500);
constexpr Duration kRegistryReadInterval = Duration(10000);
// The watch normally delivers a change within milliseconds. It is restarted after this many
// consecutive reads of the guard key that show a newer revision than the applied one.
constexpr std::uint32_t kMaxLaggingReads = 3;

bool HasPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

Address ParseAddress(const StoreKeyValue& pair) {
  try {
    // The value is the address, "#" and a random number that identifies the registered process.
    return Address::Parse(pair.value.substr(0, pair.value.find('#')));
  } catch (const Error& error) {
    Log(EventId::kInternalError, "key={} reason=\"{}\"", pair.key, error.what());
    return Address();
  }
}

}  // namespace

void EntryDriver::RunStoreOperation(const EntryStoreOperation& operation) {
  StoreOperationCompleted completed;
  completed.operation = operation.id;
  try {
    if (operation.writes.empty()) {
      for (const std::string& key : operation.reads) {
        RangeResult result = store_.Get(key);
        completed.revision = result.revision;
        std::move(result.pairs.begin(), result.pairs.end(), std::back_inserter(completed.found));
      }
    } else {
      TxnResult result = store_.Txn(operation.conditions, operation.writes, operation.reads);
      completed.succeeded = result.succeeded;
      completed.revision = result.revision;
      completed.found = std::move(result.found);
    }
  } catch (const Error& error) {
    completed.error = error.kind() == ErrorKind::kStoreUnavailable
                          ? ErrorKind::kStoreUnavailable
                          : ErrorKind::kStoreOutcomeUnknown;
  }
  Handle(completed);
}

void EntryDriver::SleepUntil(TimePoint time) {
  while (!closing_) {
    const Duration left = time - Clock::Now();
    if (left <= Duration(0)) return;
    // Sleeps in short steps, so that a long sleep does not delay the end of the process.
    boost::this_fiber::sleep_for(
        std::chrono::milliseconds(std::min<std::int64_t>(left.milliseconds(), 100)));
  }
}

void EntryDriver::Synchronize() {
  while (!closing_) {
    try {
      const std::int64_t revision = ListAll();
      OpenWatch(revision + 1);
      synchronized_ = true;
      break;
    } catch (const Error&) {
      SleepUntil(Clock::Now() + kRetryPause);
    }
  }
  synchronizing_ = false;
}

std::int64_t EntryDriver::ListAll() {
  const RangeResult cells = store_.List(std::string(kCellsPrefix), kListLimit);
  const RangeResult config = store_.List(kConfigPrefix, kListLimit);
  std::set<CellId> held;
  for (const StoreKeyValue& pair : cells.pairs) {
    held.insert(CellId(pair.key.substr(kCellsPrefix.size())));
    OnStoredCell({false, pair});
  }
  for (auto& [id, stored] : stored_cells_) {
    if (held.count(id) > 0 || stored.revision >= cells.revision) continue;
    stored.revision = cells.revision;
    SetStoredCell(id, Address(), stored.epoch);
  }
  configuration_.Replace(config.pairs, config.revision);
  ApplyConfiguration();
  RefreshRegistry();
  return cells.revision;
}

void EntryDriver::Refresh() { ListAll(); }

void EntryDriver::RefreshRegistry() {
  const TimePoint started = Clock::Now();
  next_registry_read_ = started + kRegistryReadInterval;
  const RangeResult result = store_.List(std::string(kEntriesPrefix), kListLimit);
  // The guard is read after the registry: an entry that has left the registry made its writes
  // before that, so this read shows them.
  const TimePoint guard_started = Clock::Now();
  const ConfigRevision guard = ReadGuard();
  std::map<ProcessId, Address> entries;
  for (const StoreKeyValue& pair : result.pairs) {
    // Skips a registration by an earlier process of this entry.
    if (pair.key == RegistrationKey() && pair.value != registration_value_) continue;
    // An entry with an unreadable address still counts, because permits require its vouch.
    entries[ProcessId(pair.key.substr(kEntriesPrefix.size()))] = ParseAddress(pair);
  }
  permits_.OnGuardRead(guard_started, guard);
  permits_.OnRegistry(started, entries);
  directory_.SetEntries(std::move(entries));
}

void EntryDriver::OpenWatch(std::int64_t from_revision) {
  watch_ = store_.Watch(
      std::string(kStorePrefix), from_revision,
      [this](std::vector<StoreEvent> events, std::int64_t /*revision*/) {
        std::erase_if(events, [](const StoreEvent& event) {
          const std::string& key = event.pair.key;
          return !HasPrefix(key, kCellsPrefix) && !HasPrefix(key, kEntriesPrefix) &&
                 !HasPrefix(key, kConfigPrefix);
        });
        if (events.empty()) return;
        if (!Post([this, events = std::move(events)] { OnStoreEvents(events); })) {
          needs_synchronization_ = true;
        }
      },
      [this] { needs_synchronization_ = true; });
}

void EntryDriver::OnStoreEvents(const std::vector<StoreEvent>& events) {
  bool registry_changed = false;
  for (const StoreEvent& event : events) {
    if (HasPrefix(event.pair.key, kCellsPrefix)) {
      OnStoredCell(event);
    } else if (HasPrefix(event.pair.key, kEntriesPrefix)) {
      registry_changed = true;
    } else {
      configuration_.Apply(event);
    }
  }
  ApplyConfiguration();
  // The registry is read again, because the permit authority needs the time at which a complete
  // read began.
  if (registry_changed) {
    Spawn([this] {
      try {
        RefreshRegistry();
      } catch (const Error&) {
        next_registry_read_ = Clock::Now();
      }
    });
  }
}

void EntryDriver::OnStoredCell(const StoreEvent& event) {
  const CellId cell(event.pair.key.substr(kCellsPrefix.size()));
  StoredCell& stored = stored_cells_[cell];
  if (event.pair.mod_revision <= stored.revision) return;
  stored.revision = event.pair.mod_revision;
  if (event.deleted) return SetStoredCell(cell, Address(), stored.epoch);
  stored.epoch = Epoch(static_cast<std::uint64_t>(event.pair.create_revision));
  SetStoredCell(cell, ParseAddress(event.pair), stored.epoch);
}

void EntryDriver::SetStoredCell(const CellId& cell, const Address& holder, Epoch epoch) {
  SendAll(directory_.OnCellChanged(Clock::Now(), cell, holder, epoch));
  Handle(CellChanged{cell, holder, epoch});
}

void EntryDriver::ApplyConfiguration() {
  const ConfigRevision revision = configuration_.revision();
  if (revision <= directory_.revision()) return;
  try {
    SettingsTree tree = SettingsTree::FromNodes(configuration_.Nodes());
    SendAll(directory_.SetConfiguration(Clock::Now(), revision, std::move(tree)));
  } catch (const Error& error) {
    Log(EventId::kInternalError, "configuration revision {} can't be read: {}", revision.value(),
        error.what());
    return;
  }
  std::set<DataCentreId> out;
  for (const SettingScope& scope : directory_.tree().DataCentres()) {
    if (directory_.tree().ResolveText("state", scope) == "out") out.insert(scope.data_centre);
  }
  Log(EventId::kConfigurationApplied, "revision={} data_centres_out={}", revision.value(),
      out.size());
  permits_.OnConfiguration(revision, std::move(out));
  UpdateRouting();
}

void EntryDriver::UpdateRouting() {
  const SettingsTree& tree = directory_.tree();
  RoutingConfiguration routing;
  for (const SettingScope& scope : tree.DataCentres()) {
    if (tree.ResolveText("state", scope) == "out") {
      routing.out_of_service.insert(scope.data_centre);
    }
  }
  const SettingScope region{settings_.region, {}, {}};
  // The link is shared by the entries of the region.
  const auto sharers = static_cast<std::int64_t>(directory_.EntriesOfRegion(Clock::Now()).size());
  routing.link_kbps =
      static_cast<std::uint32_t>(tree.ResolveNumber("link.budget_kbps", region) / sharers);
  routing.retry_percent =
      static_cast<std::uint32_t>(tree.ResolveNumber("retry.budget_percent", region));
  Handle(routing);
}

void EntryDriver::ReadGuardLoop() {
  while (!closing_) {
    const TimePoint started = Clock::Now();
    try {
      const ConfigRevision guard = ReadGuard();
      permits_.OnGuardRead(started, guard);
      last_store_read_ = started;
      lagging_reads_ = guard > directory_.revision() ? lagging_reads_ + 1 : 0;
      if (lagging_reads_ >= kMaxLaggingReads) {
        lagging_reads_ = 0;
        needs_synchronization_ = true;
      }
      if (synchronized_ && started >= next_registry_read_) RefreshRegistry();
      RemoveSilentEntries();
    } catch (const Error&) {
      // The store client logs the outage. Permits are issued on vouches meanwhile.
    }
    SleepUntil(started + settings_.timings.permit_refresh_interval);
  }
}

ConfigRevision EntryDriver::ReadGuard() {
  const RangeResult result = store_.Get(kConfigGuardKey);
  const std::int64_t revision = result.pairs.empty() ? 0 : result.pairs.front().mod_revision;
  return ConfigRevision(static_cast<std::uint64_t>(revision));
}

std::string EntryDriver::RegistrationKey() const {
  return std::string(kEntriesPrefix) + settings_.name.value();
}

void EntryDriver::RemoveSilentEntries() {
  for (const ProcessId& entry : permits_.SilentPeers(Clock::Now())) {
    if (!entries_being_removed_.insert(entry).second) continue;
    duty_->Spawn([this, entry] {
      RemoveEntry(entry);
      entries_being_removed_.erase(entry);
    });
  }
}

void EntryDriver::RemoveEntry(const ProcessId& entry) {
  try {
    const std::string key = std::string(kEntriesPrefix) + entry.value();
    const RangeResult found = store_.Get(key);
    if (found.pairs.empty()) return;
    SleepUntil(permits_.BeginRemoval(Clock::Now(), entry));
    const std::vector<StoreCondition> conditions = {
        ModRevisionIs{key, found.pairs.front().mod_revision}, registration()};
    if (store_.Txn(conditions, {DeleteKey{key}}).succeeded) {
      Log(EventId::kEntryRemoved, "entry={} reason=\"no answer for {} ms\"", entry.value(),
          settings_.timings.registration_silence_timeout.milliseconds());
    }
    RefreshRegistry();
  } catch (const Error&) {
    // The removal is retried while the entry stays silent. Until then the entry gets no vouch.
  }
}

void EntryDriver::Deregister() {
  try {
    store_.Txn({registration()}, {DeleteKey{RegistrationKey()}});
  } catch (const Error&) {
    // The other entries remove the registration once this entry has been silent for
    // `registration_silence_timeout`.
  }
  deregistered_ = true;
}

void EntryDriver::RegisterLoop() {
  const std::string key = RegistrationKey();
  const std::string& value = registration_value_;
  while (!closing_ && !stopping_) {
    try {
      const RangeResult current = store_.Get(key);
      if (!current.pairs.empty() && current.pairs.front().value == value) break;
      const StoreCondition condition =
          current.pairs.empty()
              ? StoreCondition(KeyAbsent{key})
              : StoreCondition(ModRevisionIs{key, current.pairs.front().mod_revision});
      if (store_.Txn({condition}, {PutKey{key, value}}).succeeded) break;
    } catch (const Error&) {
      // The next iteration retries; registering the same address twice is harmless.
    }
    SleepUntil(Clock::Now() + kRetryPause);
  }
  Log(EventId::kEntryRegistered, "entry={} address={}", settings_.name.value(), value);
  try {
    RefreshRegistry();
  } catch (const Error&) {
    next_registry_read_ = Clock::Now();
  }
}

}  // namespace internal
}  // namespace basilspring
